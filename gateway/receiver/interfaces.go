// Package receiver serves the requests of callers: it finds route and account,
// waits for a permit, sends the request to the target and copies the answer.
package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/resolver"
)

// Call is what a request says of itself, apart from method, path and body.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key authenticates the client account.
	Key string
	// Patience is how long the caller waits; 0 is unknown.
	Patience time.Duration
	// Prompt and MaxOutput are numbers of tokens; OutputHint is the caller's estimate
	// of the output, right at the median and often far off. 0 is unknown.
	Prompt, MaxOutput, OutputHint int
	// Parts are the parts of the prompt in order.
	Parts []placer.Part
	// After is the id of the last event that the caller has of a stream.
	After string
}

// Attempt is what a target is told beside what the caller sent.
type Attempt struct {
	// Target is the ID of the target that the request is meant for.
	Target string
	// Account is the name of the client account; empty for anonymous requests.
	Account string
	// Patience is the time that is left.
	Patience time.Duration
	// After is the id of the last event that was passed on.
	After string
	// CopyFrom is the address of the engine from which the target copies what that one
	// keeps of the prompt; empty for none.
	CopyFrom string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// Foreign answers belong to another request.
	Foreign bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Misdirected is set if another target answered.
	Misdirected bool
	// Signed is set if the answer bears the signature of the target that ran it.
	Signed bool
}

// Protocol translates between the wire and the types of this package.
type Protocol interface {
	// Decode reads what a request says of itself.
	Decode(r *http.Request) Call
	// Encode returns the header for the target.
	Encode(h http.Header, a Attempt) http.Header
	// Inspect reads the head of an answer to the request with the given ID.
	Inspect(id string, status int, h http.Header) Verdict
	// Copy adds the header fields of an answer that callers get.
	Copy(to, from http.Header)
	// RetryAfter formats the time after which a caller should return.
	RetryAfter(d time.Duration) string
}

// Demand is a request that waits for a target.
type Demand struct {
	Request   placer.Request
	Account   string
	Shared    bool
	Priority  int
	Objective time.Duration
	// Deadline is the time that is left until the caller gives up.
	Deadline time.Duration
	// First is set for the first wait of a request.
	First bool
}

// Permit allows one request to be sent to a target.
type Permit interface {
	Decision() queuer.Decision
	// Age is the time since the decision.
	Age() time.Duration
	// FirstEvent is called when the answer begins.
	FirstEvent()
	// Progress tells how many events arrived within the elapsed time.
	Progress(events int, elapsed time.Duration)
	// Stall tells whether the target is silent for longer than expected.
	Stall(stalled bool)
	// End must be called once.
	End(result placer.Result)
}

// ErrRefused reports that no permit is given; the decision tells why.
var ErrRefused = errors.New("the request is refused")

// Waiter gives permits.
type Waiter interface {
	// Wait blocks until the decision. With ErrRefused the permit holds the decision
	// and is not to be ended. Other errors are those of the context.
	Wait(ctx context.Context, d Demand) (Permit, error)
}

// Configs gives the configuration in force.
type Configs interface {
	Current() (resolver.Config, bool)
}

// Carrier sends a request to a target.
type Carrier interface {
	Do(ctx context.Context, t courier.Target, c courier.Call) (*courier.Answer, error)
}

// Retries bounds the requests that are sent more than once.
type Retries interface {
	Request(service string)
	Retry(service string) bool
}

// Room tells whether this host can take one more request beside those in progress.
type Room interface {
	Take(active int64) bool
	// Moving reports whether callers should connect elsewhere after their answer.
	Moving() bool
}

// Gate tells how long the daemon still serves.
type Gate interface {
	// Stopping returns the time since the stop signal and until the daemon ends; false
	// unless it is stopping.
	Stopping() (since, left time.Duration, stopping bool)
}
