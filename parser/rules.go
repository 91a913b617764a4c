package parser

import (
	"fmt"

	"monsoondeck.example/configurer"
)

// check checks the rules that concern more than one row and adds a fault for each
// violation.
func (r *rows) check(faults *Faults) {
	if len(r.sheetRows) == 0 {
		faults.add(0, columnKind, "no sheet row", "one row of kind sheet with the baseVersion")
	}
	for i, row := range r.sheetRows {
		if i > 0 {
			faults.add(row, columnKind, "a second sheet row", "one, as in row "+fmt.Sprint(r.sheetRows[0]))
		}
	}
	r.checkUnique(faults)
	r.checkPools(faults)
	for _, o := range r.operators {
		if o.value.Role == configurer.RoleEditor {
			return
		}
	}
	faults.add(0, columnRole, "no operator with role editor", "at least one; without it nobody could apply the next sheet")
}

// uniqueValues reports values of a column that occur in more than one row.
type uniqueValues struct {
	faults *Faults
	column string
	// firstRow maps each value to the first row that has it.
	firstRow map[string]int
}

func newUniqueValues(faults *Faults, column string) uniqueValues {
	return uniqueValues{faults: faults, column: column, firstRow: map[string]int{}}
}

// add records the value of a row, or adds a fault if an earlier row has it. Empty
// values may occur more than once.
func (u uniqueValues) add(row int, value string) {
	if first, taken := u.firstRow[value]; taken && value != "" {
		u.faults.add(row, u.column, quote(value), fmt.Sprintf("a value that no other row has; row %d has it", first))
		return
	}
	u.firstRow[value] = row
}

func (r *rows) checkUnique(faults *Faults) {
	accounts, targets, operators := newUniqueValues(faults, columnID), newUniqueValues(faults, columnID), newUniqueValues(faults, columnID)
	// Accounts and operators share one set of key hashes, so that a caller's key
	// never gives access to operator commands.
	keys, addresses := newUniqueValues(faults, columnKeyHashes), newUniqueValues(faults, columnAddress)
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

// checkPools adds a fault for each pool of an account that no target serves, which
// is usually misspelled, and for each target whose kind differs from that of other
// targets in its pool.
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
