package committer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

// maxDetails bounds the number of rows that an audit record lists.
const maxDetails = 20

// Result is the result of an operation, as recorded in the audit trail.
type Result string

// Results of operations.
const (
	ResultCommitted Result = "committed"
	ResultConflict  Result = "conflict"
	ResultRefused   Result = "refused"
)

// Record is one entry of the audit trail: who did what, when, and with what
// result. Records are ordered by To, the version that the operation created or
// tried to create.
type Record struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Action string    `json:"action"`
	From   uint64    `json:"from"`
	To     uint64    `json:"to"`
	Result Result    `json:"result"`
	// Rows is the number of rows put and removed.
	Rows int `json:"rows"`
	// Details lists the first rows, such as "put account a1".
	Details []string `json:"details,omitempty"`
}

// recordOf returns the audit record of a change.
func recordOf(d configurer.Delta, action string, result Result) Record {
	return Record{
		ID: d.ID, Author: d.Author, Time: d.Time, Action: action, From: d.Base, To: d.Version,
		Result: result, Rows: d.Rows(), Details: Details(d, maxDetails),
	}
}

// Details lists the rows of a change, at most limit of them, such as "put account
// a1".
func Details(d configurer.Delta, limit int) []string {
	var list []string
	add := func(operation, id string) {
		if len(list) < limit {
			list = append(list, operation+" "+id)
		}
	}
	for _, id := range d.RemoveAccounts {
		add("remove account", id)
	}
	for _, id := range d.RemoveTargets {
		add("remove target", id)
	}
	for _, name := range d.RemoveOperators {
		add("remove operator", name)
	}
	for _, a := range d.PutAccounts {
		add("put account", a.ID)
	}
	for _, t := range d.PutTargets {
		add("put target", t.ID)
	}
	for _, o := range d.PutOperators {
		add("put operator", o.Name)
	}
	return list
}

// Note writes an audit record of an operation that had no effect, such as a refused
// one, and sets its ID and time if they are empty. An error is only passed to Warn,
// so that it does not hide the result of the operation.
func (c *Committer) Note(ctx context.Context, r Record) {
	if r.ID == "" {
		r.ID = newID()
	}
	if r.Time.IsZero() {
		r.Time = c.o.Now().UTC().Truncate(time.Millisecond)
	}
	body, err := json.Marshal(r)
	if err == nil {
		err = c.o.Table.Transact(ctx, nil, []provider.Row{{Key: auditKey(r.To, r.ID), Value: body}}, nil)
	}
	if err != nil {
		c.o.Warn(errors.Wrap(err, "write audit record"))
	}
}

// History returns the audit records of the last limit versions, newest first. They
// include operations without effect, at their To version. Errors:
// provider.ErrUnavailable, ErrDamaged.
func (c *Committer) History(ctx context.Context, limit int) ([]Record, error) {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if h.Version >= uint64(limit) {
		first = h.Version - uint64(limit) + 1
	}
	var records []Record
	for after := auditKey(first, ""); ; {
		rows, err := c.o.Table.List(ctx, auditPrefix, after, pageRows)
		if err != nil {
			return nil, errors.Wrap(err, "list audit records")
		}
		for _, row := range rows {
			var r Record
			if err := json.Unmarshal(row.Value, &r); err != nil {
				return nil, errors.Mark(errors.Wrapf(err, "decode %s", row.Key), ErrDamaged)
			}
			records, after = append(records, r), row.Key
		}
		if len(rows) < pageRows {
			break
		}
	}
	slices.Reverse(records)
	return records, nil
}
