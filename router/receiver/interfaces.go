package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
)

// Errors of Waiter, Permit and IssuerResolver.
var (
	// ErrQueueFull: the account has too many waiting requests or bytes. If the
	// error also implements RetryAfter() time.Duration, its value is sent as the
	// Retry-After header.
	ErrQueueFull = errors.New("account has too many waiting requests or bytes")
	// ErrDeadlinePassed: the deadline passed before the request was sent.
	ErrDeadlinePassed = errors.New("deadline passed before dispatch")
	// ErrAccountRemoved: the account was removed or lost the pool while waiting.
	ErrAccountRemoved = errors.New("account was removed or lost access to the pool")
	// ErrStopping: the daemon is stopping.
	ErrStopping = errors.New("router is stopping")
	// ErrPermitExpired: the permit expired before the request was sent.
	ErrPermitExpired = errors.New("permit expired before dispatch")
	// ErrIssuerGone: no live daemon has the incarnation that issued the ticket.
	ErrIssuerGone = errors.New("daemon that issued the ticket is not a live member")
)

// PermitRequest is what the Waiter needs to know about a caller's request.
type PermitRequest struct {
	// ID is the value of X-Request-Id in the response to the caller.
	ID            string
	Account, Pool string
	// EstimatedUnits is the expected cost in units; see Settlement.Units.
	EstimatedUnits float64
	// PrefixHash is a hash of the prompt prefix, 0 for service requests. Requests
	// with equal hashes benefit from the same engine's prefix cache.
	PrefixHash uint64
	Deadline   time.Time
	// Exclude lists the ids of targets at which an attempt has already failed.
	Exclude []string
	// BodyBytes is the size of the buffer that holds the request body.
	BodyBytes int64
}

// Waiter queues requests until a target may run them.
type Waiter interface {
	// Wait blocks until the request may be sent to a target. It returns
	// ErrQueueFull, ErrDeadlinePassed, ErrAccountRemoved, ErrStopping or the error of ctx.
	Wait(ctx context.Context, r PermitRequest) (Permit, error)
}

// Permit allows one request to be sent to one target.
type Permit interface {
	// Target is where the request is to be sent.
	Target() configurer.Target
	// Progress reports the total units used since dispatch.
	Progress(units float64)
	// Settle ends the permit and reports its use; it is called exactly once.
	Settle(s Settlement)
	// CheckValid is called right before the first byte is sent. It returns
	// ErrPermitExpired if the permit is no longer valid.
	CheckValid() error
}

// Settlement says what a permit was used for.
type Settlement struct {
	// Units is the cost of the work done, defined in section 3.1 of the design
	// page.
	Units  float64
	Result Result
	// FirstToken is the time from dispatch to the first token, TokenInterval the mean
	// time between token events. Both are 0 when not measured.
	FirstToken, TokenInterval time.Duration
}

// Result says how an attempt at a target ended.
type Result int

// Results of an attempt.
const (
	// ResultUnused: nothing was sent.
	ResultUnused Result = iota
	// ResultComplete: the target sent a complete response.
	ResultComplete
	// ResultRefused: the target refused the request before running it.
	ResultRefused
	// ResultFailed: the target could not be reached, sent a 5xx response, or the
	// attempt failed after the request was sent.
	ResultFailed
	// ResultCancelled: the caller disconnected after the request was sent.
	ResultCancelled
)

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Current returns false while the daemon has no configuration.
	Current() (configurer.Config, bool)
}

// RetryBudget bounds the retries of each account in proportion to its requests.
// It is safe for concurrent use.
type RetryBudget interface {
	// RecordRequest counts a request of the account.
	RecordRequest(account string)
	// AllowRetry reports whether the account may retry, and if so spends one retry
	// of its budget.
	AllowRetry(account string) bool
}

// IssuerResolver finds the daemon that issued a ticket.
type IssuerResolver interface {
	// Issuer returns the daemon with the incarnation, or ErrIssuerGone if no live
	// daemon has it.
	Issuer(incarnation uint64) (Peer, error)
}

// Peer is another daemon to which requests can be forwarded.
type Peer struct {
	// Address is the host:port of its peer listener.
	Address string
	// Authenticate adds the headers by which the peer authenticates a forwarded
	// request; may be nil. Their names must begin with Monsoondeck-, because such
	// headers are never sent to a target.
	Authenticate func(h http.Header)
}
