package parser

import (
	"fmt"

	"monsoondeck.example/configurer"
)

// check applies the rules that concern more than one row.
func (r *rows) check(faults *Faults) {
	if len(r.sheets) == 0 {
		faults.add(0, columnKind, "no sheet row", "one row of kind sheet with the baseVersion")
	}
	for i, row := range r.sheets {
		if i > 0 {
			faults.add(row, columnKind, "a second sheet row", "one, as in row "+fmt.Sprint(r.sheets[0]))
		}
	}
	r.checkDistinct(faults)
	r.checkPools(faults)
	for _, o := range r.operators {
		if o.value.Role == configurer.RoleEditor {
			return
		}
	}
	faults.add(0, columnRole, "no operator with role editor", "at least one; without it nobody could apply the next sheet")
}

// uses finds values that stand in more than one row.
type uses struct {
	faults *Faults
	column string
	rows   map[string]int
}

func newUses(faults *Faults, column string) uses {
	return uses{faults: faults, column: column, rows: map[string]int{}}
}

func (u uses) add(row int, value string) {
	if first, taken := u.rows[value]; taken && value != "" {
		u.faults.add(row, u.column, quote(value), fmt.Sprintf("a value that no other row has; row %d has it", first))
		return
	}
	u.rows[value] = row
}

func (r *rows) checkDistinct(faults *Faults) {
	accounts, targets, operators := newUses(faults, columnID), newUses(faults, columnID), newUses(faults, columnID)
	// A key identifies one account or one operator, so that caller keys give no
	// access to operator functions.
	keys, addresses := newUses(faults, columnKeyHashes), newUses(faults, columnAddress)
	for _, a := range r.accounts {
		accounts.add(a.row, a.value.ID)
		for _, h := range a.value.KeyHashes {
			keys.add(a.row, h)
		}
	}
	for _, t := range r.targets {
		targets.add(t.row, t.value.ID)
		addresses.add(t.row, t.value.Address)
	}
	for _, o := range r.operators {
		operators.add(o.row, o.value.Name)
		keys.add(o.row, o.value.KeyHash)
	}
}

// checkPools finds pools of accounts that no target serves, which are mostly
// misspelt, and pools with targets of both kinds.
func (r *rows) checkPools(faults *Faults) {
	kinds := map[string]located[configurer.Kind]{}
	for _, t := range r.targets {
		for _, p := range t.value.Pools {
			first, ok := kinds[p]
			if !ok {
				kinds[p] = located[configurer.Kind]{t.row, t.value.Kind}
			} else if first.value != t.value.Kind {
				faults.add(t.row, columnTargetKind, quote(string(t.value.Kind)),
					fmt.Sprintf("%s, as the other targets of pool %s (row %d)", first.value, p, first.row))
			}
		}
	}
	for _, a := range r.accounts {
		for _, p := range a.value.Pools {
			if _, ok := kinds[p]; !ok {
				faults.add(a.row, columnPools, quote(p), "pools that a target in the sheet serves")
			}
		}
	}
}
