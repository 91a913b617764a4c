package parser

import (
	"encoding/csv"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
)

// Write writes a configuration as a sheet whose base is the configuration's
// version. Parse of the sheet returns the same configuration.
func Write(w io.Writer, c configurer.Config) error {
	out := csv.NewWriter(w)
	write := func(cells map[string]string) {
		fields := make([]string, 0, len(columns()))
		for _, column := range columns() {
			fields = append(fields, cells[column])
		}
		_ = out.Write(fields) // out.Error returns the error
	}
	_ = out.Write(columns())
	write(map[string]string{columnKind: string(kindSheet), columnBaseVersion: strconv.FormatUint(c.Version(), 10)})
	for o := range c.Operators() {
		write(operatorCells(o))
	}
	for a := range c.Accounts() {
		write(accountCells(a))
	}
	for t := range c.Targets() {
		write(targetCells(t))
	}
	write(map[string]string{columnKind: string(kindEnd)})
	out.Flush()
	return errors.Wrap(out.Error(), "write sheet")
}

func accountCells(a configurer.Account) map[string]string {
	return map[string]string{
		columnKind: string(kindAccount), columnID: a.ID, columnName: a.Name, columnShare: formatShare(a.Share),
		columnPools: strings.Join(a.Pools, " "), columnKeyHashes: strings.Join(a.KeyHashes, " "),
		columnQueueLimit: formatNumber(uint64(a.QueueLimit)),
	}
}

func targetCells(t configurer.Target) map[string]string {
	return map[string]string{
		columnKind: string(kindTarget), columnID: t.ID, columnDataCentre: t.DataCentre, columnAddress: t.Address,
		columnTargetKind: string(t.Kind), columnPools: strings.Join(t.Pools, " "), columnSlots: formatNumber(uint64(t.Slots)),
		columnState: string(t.State), columnIncarnation: formatNumber(t.Incarnation),
	}
}

func operatorCells(o configurer.Operator) map[string]string {
	return map[string]string{
		columnKind: string(kindOperator), columnID: o.Name, columnKeyHashes: o.KeyHash, columnRole: string(o.Role),
	}
}

// formatShare formats a share for the sheet. It never writes exactly three
// decimals, because Parse rejects them as a possible thousands separator.
func formatShare(share float64) string {
	text := strconv.FormatFloat(share, 'f', -1, 64)
	if whole, fraction, _ := strings.Cut(text, "."); isThousands(whole, fraction) {
		return text + "0"
	}
	return text
}

// formatNumber formats a number for the sheet; 0, the default, is an empty cell.
func formatNumber(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}
