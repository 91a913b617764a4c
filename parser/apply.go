package parser

import (
	"fmt"
	"slices"

	"monsoondeck.example/configurer"
)

// maxLossDivisor limits the accounts or targets that a sheet may remove without
// confirmation by name: at most 1 in 5.
const maxLossDivisor = 5

// UndoneChange is a row that was changed after the export of the sheet and that
// the sheet would overwrite. Author and Version are those of the last such change.
type UndoneChange struct {
	Kind    string `json:"kind"`
	ID      string `json:"id"`
	Author  string `json:"author"`
	Version uint64 `json:"version"`
}

// Losses lists what applying a sheet would remove or undo.
type Losses struct {
	// Accounts, Targets and Operators are the IDs and names of the removed rows,
	// sorted.
	Accounts, Targets, Operators []string
	// AccountsBefore and TargetsBefore are the numbers of accounts and targets
	// before the sheet is applied.
	AccountsBefore, TargetsBefore int
	// Undone are the changes since the export that would be undone, sorted by kind
	// and ID.
	Undone []UndoneChange
}

// Removes reports whether the sheet removes a row.
func (l Losses) Removes() bool { return len(l.Accounts)+len(l.Targets)+len(l.Operators) > 0 }

// ToConfirm returns the IDs that an operator must pass with --confirm before the
// sheet may be applied, sorted: the removed accounts or targets if they are more
// than 20% of all, and the rows whose changes since the export are undone. It is
// empty if the sheet needs no confirmation by name.
func (l Losses) ToConfirm() []string {
	var names []string
	if len(l.Accounts)*maxLossDivisor > l.AccountsBefore {
		names = append(names, l.Accounts...)
	}
	if len(l.Targets)*maxLossDivisor > l.TargetsBefore {
		names = append(names, l.Targets...)
	}
	for _, u := range l.Undone {
		names = append(names, u.ID)
	}
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

// Apply returns the delta that turns the configuration current into that of the
// sheet, and what it would remove or undo. The deltas in since lead from the
// version of the sheet's export to current; without them Losses.Undone is empty.
// The caller sets the delta's ID, Author, Time and Version.
func (s Sheet) Apply(current configurer.Config, since ...configurer.Delta) (configurer.Delta, Losses) {
	d := configurer.Difference(current, s.config)
	return d, Losses{
		Accounts: d.RemoveAccounts, Targets: d.RemoveTargets, Operators: d.RemoveOperators,
		AccountsBefore: current.AccountCount(), TargetsBefore: current.TargetCount(),
		Undone: undoneChanges(d, since),
	}
}

// rowKey identifies a row of the sheet. The id of an operator is its name.
type rowKey struct{ kind, id string }

// changedRows returns the rows that a delta puts or removes, sorted.
func changedRows(d configurer.Delta) []rowKey {
	var keys []rowKey
	add := func(k kind, id string) { keys = append(keys, rowKey{string(k), id}) }
	for _, a := range d.PutAccounts {
		add(kindAccount, a.ID)
	}
	for _, id := range d.RemoveAccounts {
		add(kindAccount, id)
	}
	for _, o := range d.PutOperators {
		add(kindOperator, o.Name)
	}
	for _, name := range d.RemoveOperators {
		add(kindOperator, name)
	}
	for _, t := range d.PutTargets {
		add(kindTarget, t.ID)
	}
	for _, id := range d.RemoveTargets {
		add(kindTarget, id)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return slices.Compare([]string{a.kind, a.id}, []string{b.kind, b.id})
	})
	return keys
}

// undoneChanges returns the rows of d that a delta in since also changed.
func undoneChanges(d configurer.Delta, since []configurer.Delta) []UndoneChange {
	lastChange := map[rowKey]configurer.Delta{}
	for _, s := range since {
		for _, key := range changedRows(s) {
			lastChange[key] = s
		}
	}
	var undone []UndoneChange
	for _, key := range changedRows(d) {
		if change, ok := lastChange[key]; ok {
			undone = append(undone, UndoneChange{Kind: key.kind, ID: key.id, Author: change.Author, Version: change.Version})
		}
	}
	return undone
}

// Change is one difference between two configurations: an added or removed row,
// or one changed column of a row.
type Change struct {
	// Action is add, remove or change.
	Action string `json:"action"`
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	// Column, Before and After are set for the action change only.
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Describe lists the changes that a delta makes to a configuration, one for each
// added or removed row and for each changed column.
func Describe(from configurer.Config, d configurer.Delta) []Change {
	to, err := from.WithDelta(withVersion(d))
	if err != nil {
		return []Change{{Action: "invalid", After: err.Error()}}
	}
	var list []Change
	for _, key := range changedRows(d) {
		before, existed := cellsOf(from, key)
		after, exists := cellsOf(to, key)
		switch {
		case !existed && !exists:
		case !existed:
			list = append(list, Change{Action: "add", Kind: key.kind, ID: key.id})
		case !exists:
			list = append(list, Change{Action: "remove", Kind: key.kind, ID: key.id})
		default:
			for _, column := range columns() {
				if before[column] != after[column] {
					list = append(list, Change{"change", key.kind, key.id, column, before[column], after[column]})
				}
			}
		}
	}
	return list
}

// withVersion sets the version that WithDelta needs; the caller of Apply sets the
// actual one later.
func withVersion(d configurer.Delta) configurer.Delta {
	d.Version = d.Base + 1
	return d
}

// cellsOf returns the cells of a row by column; false if the row does not exist.
func cellsOf(c configurer.Config, key rowKey) (map[string]string, bool) {
	switch kind(key.kind) {
	case kindAccount:
		a, ok := c.Account(key.id)
		return accountCells(a), ok
	case kindTarget:
		t, ok := c.Target(key.id)
		return targetCells(t), ok
	case kindOperator:
		o, ok := c.Operator(key.id)
		return operatorCells(o), ok
	}
	panic(fmt.Sprintf("unknown row kind %q", key.kind))
}
