// Package applier implements "sheet apply".
package applier

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/operator/sheet/checker"
	"monsoondeck.example/operator/sheet/differ"
	"monsoondeck.example/parser"
	"monsoondeck.example/provider/committer"
)

// Options are the arguments of the command.
type Options struct {
	File    string `arg:"positional,required" help:"sheet, or - for standard input"`
	Yes     bool   `arg:"--yes" help:"do not ask for confirmation"`
	Confirm string `arg:"--confirm" placeholder:"NAME,NAME" help:"names of removed rows and undone changes, as the command requests them; @FILE reads them from a file"`
	printer.Flags
}

const action = "sheet apply"

// Run replaces the configuration by that of the sheet, as a whole or not at all.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	result := &printer.Records{Fields: []string{"version", "accounts", "targets", "operators", "rowsChanged"}}
	if err := result.Check(o.Flags); err != nil {
		return err
	}
	sheet, err := checker.Read(s, o.File, printer.Flags{})
	if err != nil {
		return err
	}
	store, config, err := s.SignIn(ctx, true, action)
	// Before the first sheet is applied there are no operators. Whoever applies it
	// must be an editor in that sheet.
	if errors.Is(err, committer.ErrNoConfig) {
		err = s.Permit(sheet.Config(), true)
	}
	if err != nil {
		return err
	}
	d, losses, err := differ.Compare(ctx, store, config, sheet)
	if err != nil {
		return err
	}
	if d.Rows() == 0 {
		s.Progress("the configuration already matches the sheet")
	} else if config, err = o.apply(ctx, s, store, config, d, losses); err != nil {
		return err
	}
	result.Add(config.Version(), config.AccountCount(), config.TargetCount(), config.OperatorCount(), d.Rows())
	return s.Printer().Print(result, o.Flags)
}

func (o *Options) apply(ctx context.Context, s *session.Session, store session.Store, config configurer.Config,
	d configurer.Delta, losses parser.Losses) (configurer.Config, error) {
	for _, line := range differ.Warnings(losses) {
		s.Progress("%s", line)
	}
	if err := o.checkConfirmed(losses); err != nil {
		return config, err
	}
	if losses.Removes() || len(losses.Undone) > 0 {
		show := printer.Printer{Out: s.Streams.Err, Terminal: true}
		if err := show.Print(differ.Records(config, d), printer.Flags{}); err != nil {
			return config, err
		}
		if err := s.Confirm(ctx, fmt.Sprintf("This changes %d rows of version %d.", d.Rows(), config.Version()), o.Yes); err != nil {
			return config, err
		}
	}
	return s.Commit(ctx, store, config, d, action+" "+o.File)
}

// maxConfirmNames bounds the number of names in an error message.
const maxConfirmNames = 20

// confirmedNames returns the names given with --confirm.
func (o *Options) confirmedNames() (map[string]bool, error) {
	text, names := o.Confirm, map[string]bool{}
	if path, ok := strings.CutPrefix(text, "@"); ok {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, failure.Usage(err.Error(), "Give a file of names after --confirm @.")
		}
		text = string(body)
	}
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || unicode.IsSpace(r) }) {
		names[name] = true
	}
	return names, nil
}

// checkConfirmed returns a failure unless --confirm names everything that needs
// confirmation by name.
func (o *Options) checkConfirmed(losses parser.Losses) error {
	confirmed, err := o.confirmedNames()
	if err != nil {
		return err
	}
	names := losses.ToConfirm()
	if !slices.ContainsFunc(names, func(name string) bool { return !confirmed[name] }) {
		return nil
	}
	what, code := "the sheet removes more than 20% of the accounts or targets", failure.CodeNotPermitted
	if len(losses.Undone) > 0 {
		what, code = "the sheet loses rows or undoes changes made since its export", failure.CodeConflict
	}
	confirm := strings.Join(names, ",")
	if len(names) > maxConfirmNames {
		confirm = fmt.Sprintf("@FILE with the %d names that 'sheet diff --losses' lists", len(names))
	}
	return failure.New(code, what+", nothing was changed", "If that is intended, add --confirm "+confirm+" ; otherwise export a new sheet.")
}
