// Package committer commits configuration changes and audit records to the
// table service, keeps snapshots in the object store, and loads the
// configuration from both.
package committer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

const (
	// DefaultSnapshotEvery is the number of changes between snapshots.
	DefaultSnapshotEvery = 200
	// commitAttempts bounds how often the transaction of one change is sent, and how
	// often a stale read of the head is repeated before it.
	commitAttempts = 5
	// commitBackoff is the default delay before the second attempt; it doubles with
	// every further attempt.
	commitBackoff = 50 * time.Millisecond
	// pageRows is the maximum number of rows per list or delete call.
	pageRows = 100
)

// Errors of this package; methods also return those of provider.
var (
	// ErrStaleRead means that the table service returned an older state than the
	// caller already has. The caller keeps what it has.
	ErrStaleRead = errors.New("table service returned an older version")
	// ErrCompacted means that change rows that the caller lacks have been deleted; it
	// has to load the whole configuration.
	ErrCompacted = errors.New("changes are no longer kept")
	// ErrDamaged means that stored data is missing or invalid, so that the current
	// version cannot be restored from snapshots and change rows.
	ErrDamaged = errors.New("configuration cannot be recovered from the platform")
	// ErrNoConfig means that nothing has been committed yet. It is an error so that
	// the empty configuration is not applied by mistake.
	ErrNoConfig = errors.New("there is no configuration yet")
	// ErrEmpty means that the change puts and removes no rows.
	ErrEmpty = errors.New("change is empty")
)

// Options configures a Committer.
type Options struct {
	Table   provider.Table
	Objects provider.Objects
	// Now returns the time of a change; nil means time.Now.
	Now func() time.Time
	// Warn is called with errors that were handled, such as an unreadable snapshot;
	// nil ignores them.
	Warn func(error)
	// SnapshotEvery is the number of changes between snapshots; 0 means
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// Backoff is the delay before the second attempt to commit; 0 means 50 ms.
	Backoff time.Duration
}

// Committer reads and writes the stored configuration. It is safe for concurrent
// use.
type Committer struct{ o Options }

// New returns a Committer.
func New(o Options) *Committer {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Warn == nil {
		o.Warn = func(error) {}
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.Backoff == 0 {
		o.Backoff = commitBackoff
	}
	return &Committer{o: o}
}

// Keys of the rows. Versions in keys have 20 digits, so that keys sort in the order
// of versions.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	auditPrefix  = "config/audit/"
)

func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

func auditKey(version uint64, id string) string {
	return fmt.Sprintf("%s%020d-%s", auditPrefix, version, id)
}

// head is the row that identifies the last committed change.
type head struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
}

// readHead returns the head and the revision of its row; both are zero if nothing
// has been committed yet.
func (c *Committer) readHead(ctx context.Context) (head, uint64, error) {
	row, err := c.o.Table.Read(ctx, headKey)
	if errors.Is(err, provider.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, errors.Wrap(err, "read configuration head")
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, errors.Mark(errors.Wrapf(err, "decode %s", headKey), ErrDamaged)
	}
	return h, row.Revision, nil
}

// changesAfter returns the deltas after a version up to the first gap, at most
// limit of them; 0 means no limit.
func (c *Committer) changesAfter(ctx context.Context, version uint64, limit int) ([]configurer.Delta, error) {
	var deltas []configurer.Delta
	for next := version; ; {
		rows, err := c.o.Table.List(ctx, changePrefix, changeKey(next), pageRows)
		if err != nil {
			return nil, errors.Wrap(err, "list changes")
		}
		for _, r := range rows {
			d, err := decodeChange(r)
			if err != nil {
				return nil, err
			}
			if d.Base != next || (limit > 0 && len(deltas) == limit) {
				return deltas, nil
			}
			deltas, next = append(deltas, d), d.Version
		}
		if len(rows) < pageRows {
			return deltas, nil
		}
	}
}

// Poll returns the changes after a version, oldest first, or none if that is the
// current version. Errors: ErrStaleRead, ErrCompacted, ErrDamaged,
// provider.ErrUnavailable.
func (c *Committer) Poll(ctx context.Context, after uint64) ([]configurer.Delta, error) {
	h, _, err := c.readHead(ctx)
	switch {
	case err != nil:
		return nil, err
	case h.Version == after:
		return nil, nil
	case h.Version < after:
		return nil, errors.Wrapf(ErrStaleRead, "head has version %d, caller has version %d", h.Version, after)
	}
	return c.Changes(ctx, after)
}

// Changes returns the changes after a version that is older than the current
// one. Errors: ErrCompacted, ErrDamaged, provider.ErrUnavailable.
func (c *Committer) Changes(ctx context.Context, after uint64) ([]configurer.Delta, error) {
	deltas, err := c.changesAfter(ctx, after, 0)
	if err == nil && len(deltas) == 0 {
		err = errors.Wrapf(ErrCompacted, "after version %d", after)
	}
	return deltas, err
}

// newID returns a random ID for a change or an audit record.
func newID() string {
	var id [12]byte
	_, _ = rand.Read(id[:]) // documented never to fail
	return hex.EncodeToString(id[:])
}
