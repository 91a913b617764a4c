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
	Confirm string `arg:"--confirm" placeholder:"NAME,NAME" help:"names of what is lost, for a sheet that loses much or undoes changes; @FILE reads them from a file"`
	printer.Flags
}

const action = "sheet apply"

// Run makes the sheet the configuration, as a whole or not at all.
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
	// A configuration that does not exist yet has no operators; the first sheet
	// brings them, and the one who applies it must be among them.
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
		s.Progress("the configuration is as in the sheet already")
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
	if err := o.checkNames(losses); err != nil {
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

// maxNames bounds the names in an error line.
const maxNames = 20

// confirmed returns the names given with --confirm.
func (o *Options) confirmed() (map[string]bool, error) {
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

// checkNames requires the names of what is lost.
func (o *Options) checkNames(losses parser.Losses) error {
	given, err := o.confirmed()
	if err != nil {
		return err
	}
	names := losses.ToConfirm()
	if !slices.ContainsFunc(names, func(name string) bool { return !given[name] }) {
		return nil
	}
	what, code := "the sheet removes more than 20% of the accounts or targets", failure.CodeNotPermitted
	if len(losses.Undone) > 0 {
		what, code = "the sheet loses rows or undoes changes made since its export", failure.CodeConflict
	}
	confirm := strings.Join(names, ",")
	if len(names) > maxNames {
		confirm = fmt.Sprintf("@FILE with the %d names that 'sheet diff --losses' lists", len(names))
	}
	return failure.New(code, what+", nothing was changed", "If that is intended, add --confirm "+confirm+" ; otherwise export a new sheet.")
}
