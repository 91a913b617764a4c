package receiver

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// maxWaits bounds how often a request waits for a target, so that unreachable
	// targets do not delay it for long.
	maxWaits = 4
	// roomCheckInterval is the time between two demands of a request that can no longer be
	// refused and for which no target has room. Each demand costs processor time.
	roomCheckInterval = 250 * time.Millisecond
	// maxPermitAge is how long the decision of a permit may be used. Using it takes
	// microseconds unless the host has no CPU time or was suspended.
	maxPermitAge = 250 * time.Millisecond
	// minTimeLeft is the shortest time left for which a request is still sent.
	minTimeLeft = 20 * time.Millisecond
	// maxBufferedBytes is the largest response body that is read completely before it is
	// forwarded, so that the response of another target can replace an incomplete one.
	maxBufferedBytes = 256 << 10
	// refusalReadTimeout bounds reading the body of a refusal, so that a target that does not
	// send it does not delay the next attempt.
	refusalReadTimeout = 100 * time.Millisecond
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

// proxyRequest is the state of one request of a caller while it is served.
type proxyRequest struct {
	receiver *Handler
	writer   http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	// arrived is the time at which the request arrived, perhaps long before it was read.
	arrived time.Time
	info    RequestInfo
	// late is set if the request arrived when its caller could know that the daemon stops.
	late bool
	// version is that of the configuration by which the request was resolved.
	version uint64
	route   resolver.Route
	// account is the name of the client account; empty for anonymous requests.
	account string
	service string
	// regions limits the regions whose targets may get the request.
	regions resolver.Regions
	// engine is nil unless the targets of the service are inference engines.
	engine *resolver.Engine
	// healthPath is the path of the health check of the targets; empty if there is none.
	healthPath string
	priority   int

	// bodyLimit is the largest body in bytes; 0 stands for defaultBodyBytes.
	bodyLimit int
	body      []byte
	// charge is the memory that the request holds.
	charge limiter.Charge
	// fingerprint is equal for repetitions of the request by its caller.
	fingerprint uint64
	// watched is set while the charge is watched because of the body. reported is the
	// number of bytes of the body that were reported to the charge.
	watched  bool
	reported int64
	// streamCharged is the number of bytes that are charged for incomplete events.
	streamCharged int

	// waits counts the permits that were requested, without those that were refused once the
	// request could no longer be; attempts counts the targets to which the request was sent.
	waits, attempts int
	// excluded holds the IDs of targets that failed or refused the request.
	excluded []string
	// retryTaken is set while a retry is taken from the budget but not yet used.
	retryTaken atomic.Bool
	// replacement is a permit for another target that was given while the last attempt was
	// going on; nil if there is none.
	replacement Permit
	// unresumable is set while events of the stream were forwarded and none of them has an
	// ID after which another target could continue.
	unresumable atomic.Bool
	// mayHaveRun is set once a target may have started to work on the request.
	mayHaveRun bool
	// fallback is an error response that is forwarded if no other target succeeds.
	fallback *bufferedResponse
	// limit is the request limit in the last response of a target.
	limit placer.RequestLimit
	// stream is set once a target has started to respond with a stream.
	stream *streamState
	// streamVersion is the software version that began the stream; nil until a target has
	// sent the first event.
	streamVersion atomic.Pointer[string]
	// takesUp is set if the caller takes up a stream that has begun in an earlier attempt,
	// remembered if a daemon has seen that stream.
	takesUp, remembered bool
	// streamRecorded is set once an event of the stream has been forwarded.
	streamRecorded bool
	// firstByte is the time from the arrival to the first byte of the response; 0 if there is
	// none yet.
	firstByte time.Duration
	// lastData is the time at which the target of the current attempt last sent data, or at
	// which the attempt began.
	lastData time.Time
}

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	// outcomeDone: the caller got a complete response.
	outcomeDone attemptOutcome = iota
	// outcomeRetry: the request may be sent to another target.
	outcomeRetry
	// outcomeFailed: there is no complete response and there must be no further attempt.
	outcomeFailed
)

// errEnding is the cause with which requests are cancelled because the daemon ends.
var errEnding = errors.New("daemon ends")

// serve sends the request to targets until the caller has a response or no further
// attempt is allowed.
func (p *proxyRequest) serve() {
	parent := p.request.Context()
	if p.route.Kind == resolver.NonIdempotent {
		// A request that must not be repeated continues when its caller disconnects: its
		// effect matters, and cancelling it could leave the work half done.
		parent = context.WithoutCancel(parent)
	}
	ctx, end := context.WithCancelCause(parent)
	defer end(nil)
	ctx, cancel := context.WithDeadline(ctx, p.arrived.Add(p.timeout()))
	defer cancel()
	defer func() {
		if p.replacement != nil {
			p.replacement.End(placer.Unsent)
		}
	}()
	stopWatch := context.AfterFunc(p.receiver.ShutdownState.Ending(), func() { end(errEnding) })
	defer stopWatch()
	if !p.findStream(ctx) {
		return
	}
	p.receiver.RetryBudget.RecordRequest(p.service)
	for {
		switch p.attempt(ctx) {
		case outcomeDone:
			return
		case outcomeFailed:
			p.fail(ctx)
			return
		case outcomeRetry:
		}
	}
}

// attempt waits for a target and sends the request to it.
func (p *proxyRequest) attempt(ctx context.Context) attemptOutcome {
	if p.waits > 0 && !p.mayTryAgain(ctx) {
		return outcomeFailed
	}
	permit, err := p.wait(ctx)
	if err != nil {
		return p.handleNoPermit(ctx, permit, err)
	}
	d := permit.Decision()
	timeLeft := p.timeLeft(ctx)
	if permit.Age() > maxPermitAge {
		// The process was suspended after the decision; the target may be gone by now.
		permit.End(placer.Unsent)
		p.keepRetry()
		return outcomeRetry
	}
	if p.callerLeft() {
		permit.End(placer.Unsent)
		return outcomeFailed
	}
	if !p.mayHaveRun && p.endsTooEarly() {
		permit.End(placer.Unsent)
		p.rejectStopping()
		return outcomeDone
	}
	if timeLeft < minTimeLeft {
		permit.End(placer.Unsent)
		return outcomeFailed
	}
	attrs := []slog.Attr{slog.String("target", d.Choice.Target.ID), slog.String("softwareVersion", d.Choice.Target.Version), slog.Int("attempt", p.attempts+1),
		slog.Duration("waited", d.Waited), slog.Duration("objectiveLeft", d.Objective), slog.Duration("expected", d.Choice.Expected), slog.Bool("fits", d.Choice.Fits),
		slog.Bool("home", d.Choice.FirstRanked), slog.Float64("unread", d.Choice.UncachedTokens), slog.Float64("shared", d.Choice.UncachedSharedTokens), slog.Float64("copied", d.Choice.CopyTokens),
		slog.String("parts", p.formatParts()), slog.String("fingerprint", p.formatFingerprint())}
	p.log(logger.RequestPlaced, append(attrs, p.standingAttrs(d.Standing)...)...)
	return p.send(ctx, permit, timeLeft)
}

// wait returns the permit that was given during the last attempt, or waits for one.
func (p *proxyRequest) wait(ctx context.Context) (Permit, error) {
	demand := p.demand(ctx, p.nextAttempt())
	p.waits++
	if permit := p.replacement; permit != nil {
		p.replacement = nil
		if demand.Request.Version.Allows(permit.Decision().Choice.Target.Version) {
			return permit, nil
		}
		// The stream began at another version while the permit was being given.
		permit.End(placer.Unsent)
	}
	return p.receiver.Permits.Wait(ctx, demand)
}

// mayTryAgain reports whether the request may be sent to another target.
func (p *proxyRequest) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil || p.waits >= maxWaits || p.attempts >= p.route.MaxAttempts {
		return false
	}
	if p.mayHaveRun && !p.route.Repeatable() || p.unresumable.Load() {
		return false
	}
	return p.attempts == 0 || p.retryTaken.Swap(false) || p.receiver.RetryBudget.TakeRetry(p.service)
}

// takeRetry reserves a retry from the budget for the next attempt. It reports whether
// one was available and may be used.
func (p *proxyRequest) takeRetry() bool {
	if p.unresumable.Load() {
		return false
	}
	taken := p.receiver.RetryBudget.TakeRetry(p.service)
	if taken {
		p.retryTaken.Store(true)
	}
	return taken
}

// keepRetry keeps the retry that was taken for an attempt which was not sent.
func (p *proxyRequest) keepRetry() { p.retryTaken.Store(p.attempts > 0) }

// handleNoPermit handles a wait that ended without a permit. It rejects the request if
// the permit was refused before any target may have run the request.
func (p *proxyRequest) handleNoPermit(ctx context.Context, permit Permit, err error) attemptOutcome {
	if !errors.Is(err, ErrRefused) || p.fallback != nil {
		return outcomeFailed
	}
	d := permit.Decision()
	if p.stream != nil || p.mayHaveRun {
		return p.waitForRoom(ctx, d)
	}
	p.reject(rejection{
		status: http.StatusServiceUnavailable, code: string(d.Reason), retryAfter: d.RetryAfter,
		waited: d.Waited, objectiveLeft: d.Objective, expected: d.Choice.Expected, target: d.Choice.Target.ID, part: d.Part, standing: d.Standing,
	})
	return outcomeDone
}

// send sends the request to the target and handles its response.
func (p *proxyRequest) send(ctx context.Context, permit Permit, timeLeft time.Duration) attemptOutcome {
	rc, target := p.receiver, permit.Decision().Choice.Target
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.lastData = time.Now()
	watch := newStallWatch(ctx, p, permit, timeLeft, cancel)
	defer func() { p.replacement = watch.stop() }()
	lastEventID := p.info.LastEventID
	if p.stream != nil && p.stream.lastEventID != "" {
		lastEventID = p.stream.lastEventID
	}
	response, err := rc.TargetClient.Do(ctx, courierTarget(target), courier.Request{
		Method: p.request.Method, URI: p.request.RequestURI, Host: p.request.Host, Body: p.body,
		Header:        rc.Protocol.TargetHeader(p.request.Header, ForwardInfo{TargetID: target.ID, Account: p.account, TimeLeft: timeLeft, LastEventID: lastEventID, CopyFrom: permit.Decision().Choice.CopySource}),
		NonRepeatable: !p.route.Repeatable(),
		MaySend:       func() bool { return ctx.Err() == nil && p.wanted(ctx) && permit.TargetUsable() },
		Match: func(status int, h http.Header) courier.Match {
			return rc.Protocol.InspectResponse(p.info.ID, status, h).Match
		},
	})
	if err != nil {
		return p.handleSendError(ctx, permit, err)
	}
	defer func() { _ = response.Body.Close() }() // never returns an error
	p.attempts++
	info := rc.Protocol.InspectResponse(p.info.ID, response.Status, response.Header)
	p.limit = info.Limit
	permit.ObserveLimit(info.Limit)
	if info.Leaving && !info.Misdirected { // else it is another target at the address that leaves
		permit.ObserveLeave()
	}
	if info.ClosedFor > 0 {
		permit.ObserveClosure(info.ClosedFor)
	}
	if info.NotRun || info.Misdirected {
		return p.handleNotRun(permit, response, info, cancel)
	}
	p.mayHaveRun = true
	if !p.chargeResponseHeader(response.Header) {
		return p.failAttempt(permit, placer.Cancelled, "no memory for the header of the response", nil)
	}
	if response.Status < 300 && !info.Signed {
		return p.failAttempt(permit, placer.Failed, "success response without a signature", nil)
	}
	if p.route.Kind == resolver.Streaming && response.Status == http.StatusOK {
		return p.forwardStream(ctx, permit, watch, response)
	}
	if p.stream != nil {
		return p.failAttempt(permit, placer.Failed, "target did not resume the stream", nil)
	}
	return p.forwardResponse(ctx, permit, response, info)
}

// callerLeft reports whether the caller has left. Once a response is being forwarded, only the
// context of the request tells.
func (p *proxyRequest) callerLeft() bool {
	return p.request.Context().Err() != nil || p.stream == nil && p.receiver.CallerDisconnected(p.request)
}

// wanted reports whether the request is still worth sending: its caller is there and has time
// left. That holds for a request that must not be repeated, too, since it has not been sent.
func (p *proxyRequest) wanted(ctx context.Context) bool {
	return !p.callerLeft() && p.timeLeft(ctx) >= minTimeLeft
}

// courierTarget returns the target to which a request for the entry is sent.
func courierTarget(e registrar.Entry) courier.Target {
	return courier.Target{ID: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}

// timeLeft returns the time until the deadline of the request, or until the daemon ends.
func (p *proxyRequest) timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	timeLeft := time.Until(deadline)
	if _, left, stopping := p.receiver.ShutdownState.Stopping(); stopping {
		timeLeft = min(timeLeft, left)
	}
	return timeLeft
}
