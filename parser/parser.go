// Package parser reads and writes the sheet: a CSV file with the whole
// configuration, which planners edit in a spreadsheet. It also computes the change
// that applying a sheet makes and what that would remove or undo. The format is
// described in docs/sheet.md.
package parser

import (
	"io"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
)

// Sheet is a parsed sheet without faults.
type Sheet struct {
	base   uint64
	config configurer.Config
}

// Base returns the version of the configuration that the sheet was exported from.
func (s Sheet) Base() uint64 { return s.base }

// Config returns the configuration that the sheet describes; its version is that
// of Base.
func (s Sheet) Config() configurer.Config { return s.config }

// rows are the values read from a sheet.
type rows struct {
	base uint64
	// sheetRows are the rows of kind sheet; a valid sheet has one.
	sheetRows []int
	accounts  []located[configurer.Account]
	targets   []located[configurer.Target]
	operators []located[configurer.Operator]
}

// located is a value with the row that it was read from.
type located[V any] struct {
	row   int
	value V
}

// Parse reads a sheet. Errors: *Faults, which lists every fault of the sheet, or
// the error of the reader.
func Parse(r io.Reader) (Sheet, error) {
	faults := &Faults{}
	text, err := readText(r, faults)
	if err != nil {
		return Sheet{}, err
	}
	if len(faults.List) > 0 {
		return Sheet{}, faults
	}
	var all rows
	records, complete := readRecords(text, faults)
	for _, record := range records {
		all.read(cellReader{record: record, faults: faults})
	}
	if complete {
		all.check(faults)
	}
	if len(faults.List) > 0 {
		slices.SortStableFunc(faults.List, func(a, b Fault) int { return a.Row - b.Row })
		return Sheet{}, faults
	}
	config, err := configurer.New(all.base, values(all.accounts), values(all.targets), values(all.operators))
	if err != nil {
		return Sheet{}, errors.Wrap(err, "build configuration from sheet")
	}
	return Sheet{base: all.base, config: config}, nil
}

func values[V any](list []located[V]) []V {
	result := make([]V, len(list))
	for i, l := range list {
		result[i] = l.value
	}
	return result
}

// read adds the value of one record and adds faults for its invalid cells.
func (r *rows) read(c cellReader) {
	k := kind(c.cells[columnKind])
	required, optional, known := columnsOf(k)
	if !known {
		c.fault(columnKind, "sheet, account, target, operator or end")
		return
	}
	for _, column := range required {
		if c.cells[column] == "" {
			c.faults.add(c.row, column, "an empty cell", "a value, for rows of kind "+string(k))
		}
	}
	for _, column := range columns() {
		if c.cells[column] != "" && !contains(required, column) && !contains(optional, column) {
			c.fault(column, "an empty cell for rows of kind "+string(k))
		}
	}
	switch k {
	case kindSheet:
		r.sheetRows = append(r.sheetRows, c.row)
		r.base = c.number(columnBaseVersion, 0, math.MaxInt64)
	case kindAccount:
		r.accounts = append(r.accounts, located[configurer.Account]{c.row, c.account()})
	case kindTarget:
		r.targets = append(r.targets, located[configurer.Target]{c.row, c.target()})
	case kindOperator:
		r.operators = append(r.operators, located[configurer.Operator]{c.row, c.operator()})
	}
}

func (c cellReader) account() configurer.Account {
	return configurer.Account{
		ID: c.id(columnID), Name: c.cells[columnName], Share: c.share(columnShare), Pools: c.ids(columnPools),
		KeyHashes: c.hashes(columnKeyHashes), QueueLimit: int(c.number(columnQueueLimit, 0, maxQueueLimit)),
	}
}

func (c cellReader) target() configurer.Target {
	return configurer.Target{
		ID: c.id(columnID), DataCentre: c.id(columnDataCentre), Address: c.address(columnAddress),
		Kind:  configurer.Kind(c.oneOf(columnTargetKind, string(configurer.KindEngine), string(configurer.KindService))),
		Pools: c.ids(columnPools), Slots: int(c.number(columnSlots, 1, maxSlots)),
		State:       configurer.State(c.oneOf(columnState, string(configurer.StateActive), string(configurer.StateDraining))),
		Incarnation: c.number(columnIncarnation, 0, math.MaxInt64),
	}
}

func (c cellReader) operator() configurer.Operator {
	hashes := c.hashes(columnKeyHashes)
	if len(hashes) > 1 {
		c.fault(columnKeyHashes, "one hash per operator")
	}
	return configurer.Operator{
		Name: c.id(columnID), KeyHash: strings.Join(hashes, ""),
		Role: configurer.Role(c.oneOf(columnRole, string(configurer.RoleViewer), string(configurer.RoleEditor))),
	}
}
