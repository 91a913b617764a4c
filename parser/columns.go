package parser

import "slices"

// kind is the kind of a row: what the row describes.
type kind string

const (
	kindSheet    kind = "sheet"
	kindAccount  kind = "account"
	kindTarget   kind = "target"
	kindOperator kind = "operator"
	kindEnd      kind = "end"
)

// Columns of the sheet.
const (
	columnKind        = "kind"
	columnID          = "id"
	columnName        = "name"
	columnShare       = "share"
	columnPools       = "pools"
	columnQueueLimit  = "queueLimit"
	columnKeyHashes   = "keyHashes"
	columnDataCentre  = "dataCentre"
	columnAddress     = "address"
	columnTargetKind  = "targetKind"
	columnSlots       = "slots"
	columnState       = "state"
	columnIncarnation = "incarnation"
	columnRole        = "role"
	columnBaseVersion = "baseVersion"
)

// columns returns all columns in the order in which Write writes them.
func columns() []string {
	return []string{
		columnKind, columnID, columnName, columnShare, columnPools, columnQueueLimit, columnKeyHashes,
		columnDataCentre, columnAddress, columnTargetKind, columnSlots, columnState, columnIncarnation,
		columnRole, columnBaseVersion,
	}
}

// requiredColumns returns the columns that the header row must have.
func requiredColumns() []string {
	return []string{
		columnKind, columnID, columnShare, columnPools, columnKeyHashes, columnDataCentre, columnAddress,
		columnTargetKind, columnSlots, columnRole, columnBaseVersion,
	}
}

// columnsOf returns the columns in which rows of a kind must or may have a cell;
// all others must be empty. known is false for an unknown kind.
func columnsOf(k kind) (required, optional []string, known bool) {
	switch k {
	case kindSheet:
		return []string{columnKind, columnBaseVersion}, []string{columnID, columnName}, true
	case kindAccount:
		return []string{columnKind, columnID, columnShare, columnPools},
			[]string{columnName, columnQueueLimit, columnKeyHashes}, true
	case kindTarget:
		return []string{columnKind, columnID, columnDataCentre, columnAddress, columnTargetKind, columnPools, columnSlots},
			[]string{columnState, columnIncarnation}, true
	case kindOperator:
		return []string{columnKind, columnID, columnKeyHashes, columnRole}, nil, true
	case kindEnd:
		return []string{columnKind}, nil, true
	}
	return nil, nil, false
}

func isColumn(name string) bool { return contains(columns(), name) }

func contains(list []string, s string) bool { return slices.Contains(list, s) }
