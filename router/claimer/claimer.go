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
	defaultClaimTimeout = 3 * time.Second
	defaultSyncTimeout  = 500 * time.Millisecond
	defaultKeepTrying   = 30 * time.Second
	// retryPause is multiplied by the number of tries.
	retryPause = 20 * time.Millisecond
)

// Options configures a Claimer. Table is required.
type Options struct {
	Table provider.Table
	// ClaimTimeout bounds the time to make a claim.
	ClaimTimeout time.Duration
	// SyncTimeout is how long a reply waits for its claim to be released or its
	// answer to be stored, so that an immediate repeat finds the result.
	SyncTimeout time.Duration
	// KeepTrying bounds the attempts in the background after that.
	KeepTrying time.Duration
}

// Claimer makes claims in the table service. It is safe for concurrent use.
type Claimer struct {
	options Options
	// run is random, so that attempt ids are unique in the fleet even if two
	// daemons start within the same microsecond.
	run        string
	sequence   atomic.Uint64
	background sync.WaitGroup
	abandoned  atomic.Uint64
}

// New returns a Claimer and a function that waits for releases and answers
// that are still being written, at most Options.KeepTrying.
func New(o Options) (*Claimer, func()) {
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.SyncTimeout, defaultSyncTimeout)
	setDefault(&o.KeepTrying, defaultKeepTrying)
	c := &Claimer{options: o, run: rand.Text()}
	return c, c.background.Wait
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Abandoned counts releases and answers that could not be written in time.
// Their keys stay claimed: repeats are told unknown.
func (c *Claimer) Abandoned() uint64 { return c.abandoned.Load() }

// rowKey names the claim row of a key of an account.
func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// Claim is one attempt to run the request of a key. It is safe for concurrent
// use, because the check before sending runs in the transport's goroutine.
type Claim struct {
	claimer *Claimer
	key     string
	id      string
	mutex   sync.Mutex
	attempt *deduplicator.Attempt
}

// Claim claims the key of an account for the request with the given hash. If
// the verdict of the result is not VerdictNone, the request must not run.
func (c *Claimer) Claim(ctx context.Context, account, key, request string) *Claim {
	id := c.run + "-" + strconv.FormatUint(c.sequence.Add(1), 10)
	m := &Claim{claimer: c, key: rowKey(account, key), id: id, attempt: deduplicator.NewAttempt(id, request)}
	ctx, cancel := context.WithTimeout(ctx, c.options.ClaimTimeout)
	defer cancel()
	m.drive(ctx)
	return m
}

// drive performs actions until the claim is held or there is a verdict.
func (m *Claim) drive(ctx context.Context) {
	action := m.attempt.Start()
	for try := 0; ; try++ {
		switch action {
		case deduplicator.ActionClaim:
			action = m.attempt.Claimed(m.insert(ctx))
		case deduplicator.ActionRead:
			action = m.attempt.Read(m.read(ctx))
		default:
			return
		}
		if try > 0 {
			sleeper.Sleep(ctx, time.Duration(try)*retryPause)
		}
	}
}

func (m *Claim) insert(ctx context.Context) deduplicator.ClaimResult {
	value, err := json.Marshal(m.attempt.Record())
	if err != nil {
		return deduplicator.ClaimUnavailable
	}
	absent := []provider.Condition{{Key: m.key}}
	err = m.claimer.options.Table.Transact(ctx, absent, []provider.Row{{Key: m.key, Value: value}}, nil)
	switch {
	case err == nil:
		return deduplicator.ClaimTaken
	case errors.Is(err, provider.ErrConflict):
		return deduplicator.ClaimConflict
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, provider.ErrRefused):
		return deduplicator.ClaimUnavailable
	default:
		return deduplicator.ClaimUnknown
	}
}

func (m *Claim) read(ctx context.Context) (deduplicator.ReadResult, deduplicator.Record) {
	_, record, err := m.readRow(ctx)
	switch {
	case err == nil:
		return deduplicator.ReadFound, record
	case errors.Is(err, provider.ErrNotFound):
		return deduplicator.ReadAbsent, record
	default:
		return deduplicator.ReadFailed, record
	}
}

func (m *Claim) readRow(ctx context.Context) (provider.Row, deduplicator.Record, error) {
	var record deduplicator.Record
	row, err := m.claimer.options.Table.Read(ctx, m.key)
	if err == nil {
		err = json.Unmarshal(row.Value, &record)
	}
	return row, record, err
}
