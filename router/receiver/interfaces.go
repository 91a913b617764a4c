package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
)

// Errors of Waiter and Permit.
var (
	// ErrQueueFull: the account has too many waiting requests or bytes. An
	// error that also implements RetryAfter() time.Duration sets Retry-After.
	ErrQueueFull = errors.New("queue of the account is full")
	// ErrDeadline: the deadline passed before a permit was available.
	ErrDeadline = errors.New("deadline passed while waiting")
	// ErrRemoved: the account was removed or lost the pool while waiting.
	ErrRemoved = errors.New("account removed")
	// ErrStopping: the daemon is stopping.
	ErrStopping = errors.New("router is stopping")
	// ErrExpired: the permit is past its time to live.
	ErrExpired = errors.New("permit expired")
	// ErrIssuerGone: the daemon that issued a ticket is not there any more.
	ErrIssuerGone = errors.New("issuer of the ticket is gone")
)

// Request is what the Waiter needs to know about a caller's request.
type Request struct {
	// ID is the request id that the caller sees.
	ID            string
	Account, Pool string
	// Estimate is the expected cost in units.
	Estimate float64
	// Affinity is a hash of the prompt prefix, 0 for plain services.
	Affinity uint64
	Deadline time.Time
	// Exclude lists targets that have already failed this request.
	Exclude []string
	// Bytes is the memory held by the request while it waits.
	Bytes int64
}

// Waiter blocks until the request may be sent to a target. It returns
// ErrQueueFull, ErrDeadline, ErrRemoved, ErrStopping or the error of ctx.
type Waiter interface {
	Wait(ctx context.Context, r Request) (Permit, error)
}

// Permit is the right to send one request to one target.
type Permit interface {
	Target() configurer.Target
	// Progress reports the units used so far, cumulative.
	Progress(units float64)
	// Settle ends the permit; it is called exactly once.
	Settle(s Settlement)
	// Dispatchable is the last check before the first byte; ErrExpired.
	Dispatchable() error
}

// Settlement says what a permit was used for.
type Settlement struct {
	// Units is the service used, design page section 3.1.
	Units  float64
	Result Result
	// FirstToken and Interval are 0 when not measured.
	FirstToken, Interval time.Duration
}

// Result is how the target dealt with the request.
type Result int

// Results of a permit.
const (
	// ResultUnused: nothing was sent.
	ResultUnused Result = iota
	ResultComplete
	// ResultRefused: the target refused the request before running it.
	ResultRefused
	// ResultFailed: the target could not be reached, broke or answered 5xx.
	ResultFailed
	// ResultCancelled: the caller went away.
	ResultCancelled
)

// Configs gives the configuration in force; false while there is none.
type Configs interface {
	Current() (configurer.Config, bool)
}

// Retries is the retry budget of every account, safe for concurrent use.
type Retries interface {
	// Request notes a request of the account.
	Request(account string)
	// Allow spends one retry of the account's budget if there is one.
	Allow(account string) bool
}

// Forwarder finds the daemon that issued a ticket.
type Forwarder interface {
	// Issuer returns ErrIssuerGone if no live daemon has the incarnation.
	Issuer(incarnation uint64) (Peer, error)
}

// Peer is the caller listener of another daemon.
type Peer struct {
	// Address is host:port.
	Address string
	// Authenticate adds what the peer requires of a forwarded request; may be
	// nil. Names that begin with Monsoondeck- never reach a target.
	Authenticate func(h http.Header)
}
