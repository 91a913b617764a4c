package parser

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

const (
	maxShare      = 1_000_000
	maxQueueLimit = 1_000_000
	maxSlots      = 100_000
	maxIDLength   = 63
	// hashLength is the number of hexadecimal digits of a SHA-256 hash.
	hashLength = 64
)

// cellReader reads the cells of one record and adds a fault for each invalid one.
type cellReader struct {
	record
	faults *Faults
}

// fault adds a fault that quotes the whole cell.
func (c cellReader) fault(column, allowed string) {
	c.faults.add(c.row, column, quote(c.cells[column]), allowed)
}

// id reads an ID. An empty cell gives no fault here; rows.read reports empty cells
// of required columns.
func (c cellReader) id(column string) string {
	cell := c.cells[column]
	if cell != "" && !isID(cell) {
		c.fault(column, "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit")
	}
	return cell
}

func isID(s string) bool {
	if s == "" || len(s) > maxIDLength || strings.IndexByte("._-", s[0]) >= 0 {
		return false
	}
	for i := range len(s) {
		if b := s[i]; (b < 'a' || b > 'z') && (b < '0' || b > '9') && strings.IndexByte("._-", b) < 0 {
			return false
		}
	}
	return true
}

// ids reads a list of IDs separated by spaces and returns it sorted.
func (c cellReader) ids(column string) []string {
	list := strings.Fields(c.cells[column])
	for _, id := range list {
		if !isID(id) {
			c.faults.add(c.row, column, quote(id), "names of 1 to 63 of a-z, 0-9, '.', '_' and '-', separated by spaces")
		}
	}
	return c.distinct(column, list)
}

// hashes reads a list of key hashes separated by spaces and returns it sorted.
func (c cellReader) hashes(column string) []string {
	list := strings.Fields(c.cells[column])
	for _, h := range list {
		if len(h) != hashLength || strings.Trim(h, "0123456789abcdef") != "" {
			c.faults.add(c.row, column, quote(h), "SHA-256 hashes of 64 hexadecimal digits in lower case, separated by spaces")
		}
	}
	return c.distinct(column, list)
}

// distinct sorts a list and adds a fault if an entry occurs more than once.
func (c cellReader) distinct(column string, list []string) []string {
	slices.Sort(list)
	if unique := slices.Compact(slices.Clone(list)); len(unique) < len(list) {
		c.fault(column, "each entry once")
		return unique
	}
	return list
}

// share reads a number with a decimal point or comma. A separator followed by
// exactly three digits could also be a thousands separator, which would change the
// share by a factor of 1000, so such a cell is rejected.
func (c cellReader) share(column string) float64 {
	cell := c.cells[column]
	if cell == "" {
		return 0 // rows.read has already reported the empty cell
	}
	whole, fraction, found := strings.Cut(strings.Replace(cell, ",", ".", 1), ".")
	if found && isThousands(whole, fraction) {
		c.fault(column, "no thousands separator; write "+whole+fraction+" or "+whole+"."+fraction+"0")
		return 0
	}
	value, err := strconv.ParseFloat(whole+"."+fraction+"0", 64)
	if !isDigits(whole) || (found && !isDigits(fraction)) || err != nil || value <= 0 || value > maxShare {
		c.fault(column, "a number above 0, at most 1000000, with decimal point or comma")
		return 0
	}
	return value
}

// isThousands reports whether the separator between whole and fraction could be a
// thousands separator.
func isThousands(whole, fraction string) bool {
	return len(fraction) == 3 && len(whole) > 0 && len(whole) <= 3 && whole[0] != '0'
}

func isDigits(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// number reads a whole number from minimum to maximum; an empty cell is 0.
func (c cellReader) number(column string, minimum, maximum uint64) uint64 {
	cell := c.cells[column]
	if cell == "" {
		return 0
	}
	n, err := strconv.ParseUint(cell, 10, 64)
	if err != nil || !isDigits(cell) || n < minimum || n > maximum {
		c.fault(column, "a whole number from "+strconv.FormatUint(minimum, 10)+" to "+strconv.FormatUint(maximum, 10))
		return 0
	}
	return n
}

func (c cellReader) address(column string) string {
	cell := c.cells[column]
	host, port, err := net.SplitHostPort(cell)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if cell != "" && (err != nil || portErr != nil || n == 0 || !isIPAddress(host)) {
		c.fault(column, "an IP address and port, such as 10.0.0.1:8000 or [fd00::1]:8000")
	}
	return cell
}

// isIPAddress reports whether s is an IP address. Host names are not accepted:
// processes communicate by IP address.
func isIPAddress(s string) bool {
	_, err := netip.ParseAddr(s)
	return err == nil
}

// oneOf reads one of the allowed values; an empty cell means the first of them.
func (c cellReader) oneOf(column string, allowed ...string) string {
	cell := c.cells[column]
	if cell == "" {
		return allowed[0]
	}
	if !contains(allowed, cell) {
		c.fault(column, strings.Join(allowed, " or "))
	}
	return cell
}
