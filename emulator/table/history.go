package table

import "time"

// maxStaleness is the largest age of the state that a stale read can return.
const maxStaleness = 30 * time.Second

// rowVersion is the state of a row before the change that replaced it.
type rowVersion struct {
	replaced time.Time
	key      string
	row      Row
	absent   bool // the row did not exist
}

// recordVersion adds the current state of a row to the history, before it changes, and
// drops versions that were replaced longer than maxStaleness ago.
func (t *Table) recordVersion(key string, now time.Time) {
	for len(t.history) > 0 && now.Sub(t.history[0].replaced) > maxStaleness {
		t.history = t.history[1:]
	}
	r, ok := t.rows[key]
	t.history = append(t.history, rowVersion{replaced: now, key: key, row: r, absent: !ok})
}

// rowAt returns a row as it was at a time, at most maxStaleness ago.
func (t *Table) rowAt(key string, at time.Time) (Row, bool) {
	r, ok := t.rows[key]
	for i := len(t.history) - 1; i >= 0 && t.history[i].replaced.After(at); i-- {
		if v := t.history[i]; v.key == key {
			r, ok = v.row, !v.absent
		}
	}
	return r, ok
}
