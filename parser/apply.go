package parser

import (
	"fmt"
	"slices"

	"monsoondeck.example/configurer"
)

// maxLossShare is the denominator of the part of accounts or targets that a
// sheet may remove without confirmation: 1/5.
const maxLossShare = 5

// Undone is a row that somebody changed after the export of the sheet and that
// the sheet would change back.
type Undone struct {
	Kind    string `json:"kind"`
	ID      string `json:"id"`
	Author  string `json:"author"`
	Version uint64 `json:"version"`
}

// Losses tells what a sheet takes away.
type Losses struct {
	// Removed accounts, targets and operators, sorted.
	Accounts, Targets, Operators []string
	// AccountsBefore and TargetsBefore are the numbers before the sheet.
	AccountsBefore, TargetsBefore int
	// Undone are changes since the export, sorted by kind and ID.
	Undone []Undone
}

// Removes tells whether the sheet removes a row.
func (l Losses) Removes() bool { return len(l.Accounts)+len(l.Targets)+len(l.Operators) > 0 }

// ToConfirm returns the names that an operator must repeat before the sheet may
// be applied: accounts or targets when more than 20% of them are removed, and
// the rows whose later changes are undone. It is sorted, and empty when the
// sheet needs no confirmation by name.
func (l Losses) ToConfirm() []string {
	var names []string
	if len(l.Accounts)*maxLossShare > l.AccountsBefore {
		names = append(names, l.Accounts...)
	}
	if len(l.Targets)*maxLossShare > l.TargetsBefore {
		names = append(names, l.Targets...)
	}
	for _, u := range l.Undone {
		names = append(names, u.ID)
	}
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

// Apply returns the delta from a configuration to the sheet and what it loses.
// since are the changes made after the sheet's export, up to the configuration;
// without them Losses.Undone is empty. The caller sets the delta's ID, Author,
// Time and Version.
func (s Sheet) Apply(to configurer.Config, since ...configurer.Delta) (configurer.Delta, Losses) {
	d := configurer.Difference(to, s.config)
	return d, Losses{
		Accounts: d.RemoveAccounts, Targets: d.RemoveTargets, Operators: d.RemoveOperators,
		AccountsBefore: to.AccountCount(), TargetsBefore: to.TargetCount(),
		Undone: undone(d, since),
	}
}

type rowName struct{ kind, id string }

// touched returns the rows that a delta puts or removes, sorted.
func touched(d configurer.Delta) []rowName {
	var names []rowName
	add := func(k kind, id string) { names = append(names, rowName{string(k), id}) }
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
	slices.SortFunc(names, func(a, b rowName) int {
		return slices.Compare([]string{a.kind, a.id}, []string{b.kind, b.id})
	})
	return names
}

func undone(d configurer.Delta, since []configurer.Delta) []Undone {
	last := map[rowName]configurer.Delta{}
	for _, s := range since {
		for _, name := range touched(s) {
			last[name] = s
		}
	}
	var list []Undone
	for _, name := range touched(d) {
		if by, ok := last[name]; ok {
			list = append(list, Undone{Kind: name.kind, ID: name.id, Author: by.Author, Version: by.Version})
		}
	}
	return list
}

// Change is one line of a comparison.
type Change struct {
	// Action is add, remove or change.
	Action string `json:"action"`
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	// Column, Before and After are set for action change.
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Describe lists what a delta does to a configuration, column by column.
func Describe(from configurer.Config, d configurer.Delta) []Change {
	to, err := from.WithDelta(withVersion(d))
	if err != nil {
		return []Change{{Action: "invalid", After: err.Error()}}
	}
	var list []Change
	for _, name := range touched(d) {
		before, existed := cellsOf(from, name)
		after, exists := cellsOf(to, name)
		switch {
		case !existed && !exists:
		case !existed:
			list = append(list, Change{Action: "add", Kind: name.kind, ID: name.id})
		case !exists:
			list = append(list, Change{Action: "remove", Kind: name.kind, ID: name.id})
		default:
			for _, column := range columns() {
				if before[column] != after[column] {
					list = append(list, Change{"change", name.kind, name.id, column, before[column], after[column]})
				}
			}
		}
	}
	return list
}

func withVersion(d configurer.Delta) configurer.Delta {
	d.Version = d.Base + 1
	return d
}

func cellsOf(c configurer.Config, name rowName) (map[string]string, bool) {
	switch kind(name.kind) {
	case kindAccount:
		a, ok := c.Account(name.id)
		return accountCells(a), ok
	case kindTarget:
		t, ok := c.Target(name.id)
		return targetCells(t), ok
	case kindOperator:
		o, ok := c.Operator(name.id)
		return operatorCells(o), ok
	}
	panic(fmt.Sprintf("row of kind %q", name.kind))
}
