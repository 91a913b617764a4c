// Package receiver serves the HTTP requests of callers: it determines route and
// account, waits for a permit to send the request to a target, sends it, and forwards
// the response. It retries at another target where the route allows it.
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
	"monsoondeck.example/gateway/versioner"
)

// RequestInfo holds what the header of a request says about it.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID string
	// APIKey is the key that authenticates the client account.
	APIKey string
	// Timeout is how long the caller waits for the response; 0 is unknown.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens are the length of the prompt and the largest length
	// of the output. ExpectedOutputTokens is the caller's estimate of the length of the
	// output: its median is right, but single values are often far off. 0 is unknown.
	PromptTokens, MaxOutputTokens, ExpectedOutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []placer.PromptPart
	// LastEventID is the ID of the last event of a stream that the caller has received, and
	// Resumes the ID of its attempt that brought the first one.
	LastEventID, Resumes string
}

// ForwardInfo holds what the gateway adds to the header of a request to a target.
type ForwardInfo struct {
	// TargetID is the ID of the only target that may run the request.
	TargetID string
	// Account is the name of the client account; empty for anonymous requests.
	Account string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which the target resumes a stream; empty to
	// start from the beginning.
	LastEventID string
	// CopyFrom is the address of an engine from which the target copies the cached parts
	// of the prompt; empty for none.
	CopyFrom string
}

// ResponseInfo holds what status and header of a response say about it.
type ResponseInfo struct {
	// Match says whether the response belongs to the request.
	Match courier.Match
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Misdirected is set if the request reached a target for which it was not meant, which
	// did not run it.
	Misdirected bool
	// Signed is set if the response bears the signature of the target that ran the request.
	Signed bool
	// Limit is the number of requests that the target takes.
	Limit placer.RequestLimit
	// ClosedFor is the time for which the target, which turned the request away, wants no
	// requests from this daemon; 0 if it names none.
	ClosedFor time.Duration
	// Leaving is set if the target announces that it leaves and should get no new requests.
	Leaving bool
}

// Protocol translates between the header fields of the platform and the types of this
// package.
type Protocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(r *http.Request) RequestInfo
	// TargetHeader returns the header with which the caller's request is sent to a target,
	// given the header that the caller sent.
	TargetHeader(from http.Header, f ForwardInfo) http.Header
	// InspectResponse reads status and header of a response to the request with the ID.
	InspectResponse(id string, status int, h http.Header) ResponseInfo
	// HealthCheckHeader returns the header of a health check of the target with the ID.
	HealthCheckHeader(targetID string) http.Header
	// InspectHealth says whether the response to a health check comes from the target with
	// the ID; it is Doubtful if the response names no target.
	InspectHealth(targetID string, status int, h http.Header) courier.Match
	// CopyResponseHeader copies the header fields of a target's response that are
	// forwarded to the caller.
	CopyResponseHeader(to, from http.Header)
	// FormatRetryAfter returns the value of Retry-After for the time after which the
	// caller should retry.
	FormatRetryAfter(d time.Duration) string
}

// Demand describes a request that waits for a permit.
type Demand struct {
	Request placer.Request
	// Account is the name of the client account; empty for anonymous requests.
	Account string
	// CountsTowardsShare is set if the request counts against the fair share of its
	// account.
	CountsTowardsShare bool
	// Priority is that of the account or route.
	Priority int
	// Objective is the time left for a first event that is on time.
	Objective time.Duration
	// TimeLeft is the time left until the caller gives up.
	TimeLeft time.Duration
	// FirstWait is set the first time that the request waits.
	FirstWait bool
	// Continues is set if the request takes up a stream that a daemon remembers.
	Continues bool
	// NoWait is set if the permit is refused unless a target can begin the request on time
	// now, so that a request which has a target takes no place in the queue.
	NoWait bool
}

// Permit allows sending a request to a target once. Its methods, except Decision, Age and
// TargetUsable, report the progress of the request to the PermitSource that gave the permit.
type Permit interface {
	// Decision returns the chosen target, or the reason for which the permit is refused.
	Decision() queuer.Decision
	// Age returns the time since the decision.
	Age() time.Duration
	// TargetUsable reports whether the target may still get the request: it may have begun
	// to leave since the decision, or the time by which a cold one takes it may have passed.
	TargetUsable() bool
	// ObserveLimit reports the request limit that the response names, or that it names none.
	ObserveLimit(l placer.RequestLimit)
	// ObserveClosure reports that the target wants no requests of this daemon for some time.
	ObserveClosure(closedFor time.Duration)
	// ObserveLeave reports that the target announced in its response that it leaves.
	ObserveLeave()
	// FirstEvent reports that the response has started.
	FirstEvent()
	// Progress reports the number of events that arrived within the elapsed time.
	Progress(events int, elapsed time.Duration)
	// SetStalled reports that the target has sent no data for longer than expected,
	// or that it sends data again.
	SetStalled(stalled bool)
	// End reports the result. It must be called exactly once.
	End(result placer.Result)
}

// ErrRefused reports that no permit is given; the decision has the reason.
var ErrRefused = errors.New("permit to send the request was refused")

// PermitSource gives permits.
type PermitSource interface {
	// Wait blocks until a permit is given or refused. With ErrRefused, it returns a permit
	// that holds only the decision; End must not be called on it. All other errors are
	// those of the context.
	Wait(ctx context.Context, d Demand) (Permit, error)
}

// StreamOrigin is the service and the software version that began a stream.
type StreamOrigin struct {
	versioner.Origin
	// Known is set if there is no doubt about the origin, Remembered if a daemon has seen the
	// stream. Otherwise the origin follows from the versions that were in service.
	Known, Remembered bool
}

// StreamOrigins knows at which software versions streams have begun.
type StreamOrigins interface {
	// FindStream returns the origin of a stream of the service. It waits a short time for
	// reports of other daemons, but not longer than until the context ends.
	FindStream(ctx context.Context, service string, s versioner.Stream) StreamOrigin
	// BeganStream records that this daemon has begun or continued a stream, which its caller
	// may take up again within a time.
	BeganStream(s versioner.Stream, o versioner.Origin, left time.Duration)
}

// Configs provides the configuration.
type Configs interface {
	// Current returns the configuration in force; false if none is known yet.
	Current() (resolver.Config, bool)
}

// TargetClient sends a request to a target.
type TargetClient interface {
	// Do sends the request and returns the response once its header has been read. The
	// errors are those of courier.Client.Do.
	Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error)
}

// TargetChecker finds out whether a target still runs.
type TargetChecker interface {
	// Gone reports whether the target has ended, by a check that starts after the call. It
	// returns false if the check cannot tell. healthPath is the path of the health check of
	// the target; empty if there is none.
	Gone(ctx context.Context, t courier.Target, healthPath string) bool
}

// RetryBudget is the budget for sending requests more than once.
type RetryBudget interface {
	// RecordRequest counts a new request to the service.
	RecordRequest(service string)
	// TakeRetry takes a retry from the budget of the service; false if there is none.
	TakeRetry(service string) bool
	// HasRetry reports whether TakeRetry would take one.
	HasRetry(service string) bool
}

// LoadShedder protects the host from overload.
type LoadShedder interface {
	// Admit reports whether the host can serve a new request. active is the number of
	// requests in progress, including the new one; account is empty for requests that count
	// towards no share.
	Admit(r *http.Request, account string, active int64) bool
	// ShouldCloseConnections reports whether connections are to be closed after the
	// next response, so that callers connect to other hosts.
	ShouldCloseConnections() bool
}

// Tally adds up the requests by client account, which is empty for those that count towards
// no share. The cost is that of a request at a model engine in tokens, 0 at a plain service.
type Tally interface {
	// Asked adds a request that arrived.
	Asked(account string, cost float64)
	// Began adds a request whose successful response begins.
	Began(account string, cost float64)
	// Refused adds a request that the daemon refuses with a code.
	Refused(account, code string)
}

// ShutdownState reports the progress of a graceful stop of the daemon.
type ShutdownState interface {
	// Stopping returns the time since the stop signal and the time until the daemon ends;
	// stopping is false if there was no stop signal.
	Stopping() (since, left time.Duration, stopping bool)
	// Ending returns a context that ends when the requests in progress must end, so that
	// their callers still get a response.
	Ending() context.Context
}
