package table

import "time"

// historyTime bounds how stale a read can be made.
const historyTime = 30 * time.Second

// change is the state of a row before a transaction.
type change struct {
	at     time.Time
	key    string
	before Row
	absent bool
}

// remember keeps the state of a row before it changes.
func (t *Table) remember(key string, now time.Time) {
	for len(t.history) > 0 && now.Sub(t.history[0].at) > historyTime {
		t.history = t.history[1:]
	}
	r, ok := t.rows[key]
	t.history = append(t.history, change{at: now, key: key, before: r, absent: !ok})
}

// rowAt returns a row as it was at a time.
func (t *Table) rowAt(key string, at time.Time) (Row, bool) {
	r, ok := t.rows[key]
	for i := len(t.history) - 1; i >= 0 && t.history[i].at.After(at); i-- {
		if c := t.history[i]; c.key == key {
			r, ok = c.before, !c.absent
		}
	}
	return r, ok
}
