// Package differ implements "sheet diff".
package differ

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/operator/sheet/checker"
	"monsoondeck.example/parser"
	"monsoondeck.example/provider/committer"
)

// Options are the arguments of the command.
type Options struct {
	File   string `arg:"positional,required" help:"sheet, or - for standard input"`
	Losses bool   `arg:"--losses" help:"list only what is lost: removed rows and undone changes of others"`
	printer.Flags
}

// maxWarnings bounds the number of undone changes that Warnings lists individually.
const maxWarnings = 10

// Run prints what applying a sheet would change.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	empty := Records(configurer.Config{}, configurer.Delta{})
	if o.Losses {
		empty = lossRecords(parser.Losses{})
	}
	if err := empty.Check(o.Flags); err != nil {
		return err
	}
	sheet, err := checker.Read(s, o.File, printer.Flags{})
	if err != nil {
		return err
	}
	store, config, err := s.SignIn(ctx, false, "sheet diff")
	if err != nil && !errors.Is(err, committer.ErrNoConfig) {
		return err
	}
	d, losses, err := Compare(ctx, store, config, sheet)
	if err != nil {
		return err
	}
	for _, line := range Warnings(losses) {
		s.Progress("%s", line)
	}
	if o.Losses {
		return s.Printer().Print(lossRecords(losses), o.Flags)
	}
	return s.Printer().Print(Records(config, d), o.Flags)
}

// Compare returns the change that applying the sheet makes to the configuration, and
// the rows that it removes and the changes since its export that it undoes.
func Compare(ctx context.Context, store session.Store, config configurer.Config, sheet parser.Sheet) (configurer.Delta, parser.Losses, error) {
	var since []configurer.Delta
	switch {
	case sheet.Base() > config.Version():
		return configurer.Delta{}, parser.Losses{}, failure.New(failure.CodeConflict,
			fmt.Sprintf("the sheet was exported from version %d, but the configuration is at version %d", sheet.Base(), config.Version()),
			"Check that the sheet and the settings belong to the same fleet.")
	case sheet.Base() < config.Version():
		var err error
		since, err = store.Changes(ctx, sheet.Base())
		if errors.Is(err, committer.ErrCompacted) {
			return configurer.Delta{}, parser.Losses{}, failure.New(failure.CodeConflict,
				fmt.Sprintf("the sheet was exported from version %d; the changes since then are no longer kept", sheet.Base()),
				"Export the current sheet with 'sheet show --csv' and repeat the planners' changes in it.")
		}
		if err != nil {
			return configurer.Delta{}, parser.Losses{}, err
		}
	}
	d, losses := sheet.Apply(config, since...)
	return d, losses, nil
}

// Records returns the changes that a delta makes, one record per changed column.
func Records(from configurer.Config, d configurer.Delta) *printer.Records {
	r := &printer.Records{Fields: []string{"action", "kind", "id", "column", "before", "after"}}
	if d.Rows() == 0 {
		return r
	}
	for _, c := range parser.Describe(from, d) {
		r.Add(c.Action, c.Kind, c.ID, c.Column, c.Before, c.After)
	}
	return r
}

// lossRecords returns one record per removed row and undone change.
func lossRecords(l parser.Losses) *printer.Records {
	r := &printer.Records{Fields: []string{"id", "kind", "loss", "author", "version"}}
	for _, removed := range []struct {
		kind string
		ids  []string
	}{{"account", l.Accounts}, {"target", l.Targets}, {"operator", l.Operators}} {
		for _, id := range removed.ids {
			r.Add(id, removed.kind, "removed", "", "")
		}
	}
	for _, u := range l.Undone {
		r.Add(u.ID, u.Kind, "undone", u.Author, u.Version)
	}
	return r
}

// Warnings returns messages that say what applying the sheet removes or undoes.
func Warnings(l parser.Losses) []string {
	var lines []string
	if l.Removes() {
		lines = append(lines, fmt.Sprintf("the sheet removes %d of %d accounts, %d of %d targets and %d operators",
			len(l.Accounts), l.AccountsBefore, len(l.Targets), l.TargetsBefore, len(l.Operators)))
	}
	for i, u := range l.Undone {
		if i == maxWarnings {
			lines = append(lines, fmt.Sprintf("and %d more changes that the sheet undoes", len(l.Undone)-i))
			break
		}
		lines = append(lines, fmt.Sprintf("the sheet undoes the change of %s %s by %s in version %d", u.Kind, u.ID, u.Author, u.Version))
	}
	return lines
}
