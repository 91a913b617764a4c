package claimer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/provider"
	"monsoondeck.example/sleeper"
)

// Defaults of Options.
const (
	defaultClaimTimeout      = 3 * time.Second
	defaultSyncTimeout       = 500 * time.Millisecond
	defaultBackgroundTimeout = 30 * time.Second
	// retryInterval is multiplied by the number of tries so far.
	retryInterval = 20 * time.Millisecond
)

// Options configures a Claimer. Table is required; a timeout that is zero selects
// its default.
type Options struct {
	// Table stores one row for each claimed key.
	Table provider.Table
	// ClaimTimeout bounds the time to make a claim.
	ClaimTimeout time.Duration
	// SyncTimeout bounds how long the end of a response waits for its claim to be
	// released or its result to be stored, so that an immediate repeat finds them.
	SyncTimeout time.Duration
	// BackgroundTimeout bounds the retries in the background that follow.
	BackgroundTimeout time.Duration
}

// Claimer claims idempotency keys in the table service. It is safe for concurrent
// use.
type Claimer struct {
	options Options
	// idPrefix is random, so that attempt ids are unique in the fleet even if two
	// daemons start within the same microsecond and thus share an incarnation.
	idPrefix string
	// sequence is the number of claims made; attempt ids end with it.
	sequence atomic.Uint64
	// background counts the writes that are retried in the background.
	background sync.WaitGroup
	abandoned  atomic.Uint64
}

// New returns a Claimer and a function that waits for the writes in the
// background, which end after at most Options.BackgroundTimeout.
func New(o Options) (*Claimer, func()) {
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.SyncTimeout, defaultSyncTimeout)
	setDefault(&o.BackgroundTimeout, defaultBackgroundTimeout)
	c := &Claimer{options: o, idPrefix: rand.Text()}
	return c, c.background.Wait
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Abandoned returns the number of releases and results that could not be written
// in time. Their keys stay claimed, and repeats get the outcome unknown.
func (c *Claimer) Abandoned() uint64 { return c.abandoned.Load() }

// claimRowKey returns the key of the table row that holds the claim on an
// account's idempotency key.
func claimRowKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// Claim is one attempt to run the request of an idempotency key. It is safe for
// concurrent use, because Dispatch is called in the transport's goroutine.
type Claim struct {
	claimer   *Claimer
	rowKey    string
	attemptID string
	// mutex guards attempt.
	mutex   sync.Mutex
	attempt *deduplicator.Attempt
}

// Claim claims an idempotency key of an account for the request with the given
// hash. If the verdict of the result is not VerdictNone, the request must not run.
func (c *Claimer) Claim(ctx context.Context, account, key, requestHash string) *Claim {
	id := c.idPrefix + "-" + strconv.FormatUint(c.sequence.Add(1), 10)
	cl := &Claim{claimer: c, rowKey: claimRowKey(account, key), attemptID: id, attempt: deduplicator.NewAttempt(id, requestHash)}
	ctx, cancel := context.WithTimeout(ctx, c.options.ClaimTimeout)
	defer cancel()
	cl.acquire(ctx)
	return cl
}

// acquire inserts and reads the claim row, as the attempt decides, until the claim
// is held or there is a verdict.
func (cl *Claim) acquire(ctx context.Context) {
	action := cl.attempt.Start()
	for try := 0; ; try++ {
		switch action {
		case deduplicator.ActionClaim:
			action = cl.attempt.Claimed(cl.insert(ctx))
		case deduplicator.ActionRead:
			action = cl.attempt.Read(cl.read(ctx))
		default:
			return
		}
		if try > 0 {
			sleeper.Sleep(ctx, time.Duration(try)*retryInterval)
		}
	}
}

// insert writes the claim row on condition that the key has no row.
func (cl *Claim) insert(ctx context.Context) deduplicator.ClaimResult {
	value, err := json.Marshal(cl.attempt.Record())
	if err != nil {
		return deduplicator.ClaimUnavailable
	}
	absent := []provider.Condition{{Key: cl.rowKey}}
	err = cl.claimer.options.Table.Transact(ctx, absent, []provider.Row{{Key: cl.rowKey, Value: value}}, nil)
	switch {
	case err == nil:
		return deduplicator.ClaimTaken
	case errors.Is(err, provider.ErrConflict):
		return deduplicator.ClaimConflict
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, provider.ErrRejected):
		return deduplicator.ClaimUnavailable
	default:
		return deduplicator.ClaimUnknown
	}
}

// read reads the claim row and classifies the result.
func (cl *Claim) read(ctx context.Context) (deduplicator.ReadResult, deduplicator.Record) {
	_, record, err := cl.readRow(ctx)
	switch {
	case err == nil:
		return deduplicator.ReadFound, record
	case errors.Is(err, provider.ErrNotFound):
		return deduplicator.ReadAbsent, record
	default:
		return deduplicator.ReadFailed, record
	}
}

func (cl *Claim) readRow(ctx context.Context) (provider.Row, deduplicator.Record, error) {
	var record deduplicator.Record
	row, err := cl.claimer.options.Table.Read(ctx, cl.rowKey)
	if err == nil {
		err = json.Unmarshal(row.Value, &record)
	}
	return row, record, err
}
