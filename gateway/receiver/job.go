package receiver

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
)

const (
	// maxWaits bounds how often a request waits for a target, so that targets that
	// cannot be reached do not keep it for long.
	maxWaits = 4
	// maxPermitAge is how long a decision may be used. It takes microseconds to use it
	// unless the host has no processor time or was suspended.
	maxPermitAge = 250 * time.Millisecond
	// minPatience is the least time that is worth sending a request for.
	minPatience = 20 * time.Millisecond
	// bufferedBytes is the largest answer that is read whole before it is passed on,
	// so that a broken one can be replaced.
	bufferedBytes = 256 << 10
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

// job is one request.
type job struct {
	receiver *Receiver
	writer   http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	start    time.Time
	call     Call
	version  uint64
	route    resolver.Route
	account  string
	service  string
	engine   *resolver.Engine
	priority int

	bodyLimit int
	body      []byte
	release   func()

	// waits and attempts count the permits that were asked for and the targets to
	// which the request was sent.
	waits, attempts int
	excluded        []string
	// retryTaken is set while a retry was taken from the budget and not used.
	retryTaken atomic.Bool
	// mayHaveRun is set once a target may have begun to work on the request.
	mayHaveRun bool
	// kept is a failure of a target that is passed on if no other target succeeds.
	kept *whole
	// stream is set once the answer has begun.
	stream *stream
	// firstByte is the time to the first byte of the answer.
	firstByte time.Duration
}

// outcome is how an attempt ended.
type outcome int

const (
	// done: the caller has its answer.
	done outcome = iota
	// again: another target may be tried.
	again
	// broken: no answer can be given.
	broken
)

// serve tries targets until the caller has an answer.
func (j *job) serve() {
	parent := j.request.Context()
	if j.route.Kind == resolver.NonIdempotent {
		// Work that may not be repeated goes on when its caller leaves: the result
		// counts, and a cut could leave it half done.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, j.start.Add(j.patience()))
	defer cancel()
	j.receiver.Retries.Request(j.service)
	for {
		switch j.attempt(ctx) {
		case done:
			return
		case broken:
			j.fail(ctx)
			return
		case again:
		}
	}
}

// attempt waits for a target and sends the request to it.
func (j *job) attempt(ctx context.Context) outcome {
	if j.waits > 0 && !j.mayTryAgain(ctx) {
		return broken
	}
	permit, err := j.wait(ctx)
	if err != nil {
		return j.giveUp(permit, err)
	}
	d := permit.Decision()
	patience := j.left(ctx)
	if permit.Age() > maxPermitAge {
		// The host stood still since the decision; the target may have left.
		permit.End(placer.Unsent)
		return again
	}
	if j.stream == nil && j.receiver.Left(j.request) {
		permit.End(placer.Unsent)
		return broken
	}
	if j.request.Context().Err() != nil || patience < minPatience {
		permit.End(placer.Unsent)
		return broken
	}
	j.log(logger.RequestPlaced, slog.String("target", d.Choice.Target.ID), slog.Int("attempt", j.attempts+1),
		slog.Duration("waited", d.Waited), slog.Duration("expected", d.Choice.Expected), slog.Bool("fits", d.Choice.Fits),
		slog.Bool("home", d.Choice.Home), slog.Float64("unread", d.Choice.Unread), slog.Float64("shared", d.Choice.Shared), slog.Float64("copied", d.Choice.Copied))
	return j.send(ctx, permit, patience)
}

func (j *job) wait(ctx context.Context) (Permit, error) {
	demand := j.demand(ctx)
	j.waits++
	return j.receiver.Waiter.Wait(ctx, demand)
}

// mayTryAgain reports whether the request may be sent to another target.
func (j *job) mayTryAgain(ctx context.Context) bool {
	if ctx.Err() != nil || j.waits >= maxWaits || j.attempts >= j.route.MaxAttempts {
		return false
	}
	if j.mayHaveRun && !j.route.Repeatable() {
		return false
	}
	return j.attempts == 0 || j.retryTaken.Swap(false) || j.receiver.Retries.Retry(j.service)
}

// takeRetry takes a retry from the budget for the next attempt and reports whether
// there was one.
func (j *job) takeRetry() bool {
	taken := j.receiver.Retries.Retry(j.service)
	if taken {
		j.retryTaken.Store(true)
	}
	return taken
}

// giveUp ends a request that got no permit.
func (j *job) giveUp(permit Permit, err error) outcome {
	if !errors.Is(err, ErrRefused) || j.stream != nil || j.mayHaveRun || j.kept != nil {
		return broken
	}
	d := permit.Decision()
	j.refuse(rejection{
		status: http.StatusServiceUnavailable, code: string(d.Reason), retryAfter: d.RetryAfter,
		waited: d.Waited, expected: d.Choice.Expected, target: d.Choice.Target.ID,
	})
	return done
}

// send sends the request to the target and handles its answer.
func (j *job) send(ctx context.Context, permit Permit, patience time.Duration) outcome {
	v, target := j.receiver, permit.Decision().Choice.Target
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatch(j, permit, patience, cancel)
	defer watch.stop()
	after := j.call.After
	if j.stream != nil && j.stream.lastID != "" {
		after = j.stream.lastID
	}
	answer, err := v.Carrier.Do(ctx, courier.Target{ID: target.ID, Address: target.Address, Incarnation: target.Incarnation}, courier.Call{
		Method: j.request.Method, URI: j.request.RequestURI, Host: j.request.Host, Body: j.body,
		Header:  v.Protocol.Encode(j.request.Header, Attempt{Target: target.ID, Account: j.account, Patience: patience, After: after, CopyFrom: permit.Decision().Choice.Source}),
		Once:    !j.route.Repeatable(),
		Belongs: func(status int, h http.Header) bool { return !v.Protocol.Inspect(j.call.ID, status, h).Foreign },
	})
	if err != nil {
		return j.sendFailed(ctx, permit, err)
	}
	defer func() { _ = answer.Body.Close() }() // closing ends the exchange; there is nothing to report
	j.attempts++
	verdict := v.Protocol.Inspect(j.call.ID, answer.Status, answer.Header)
	if verdict.NotRun || verdict.Misdirected {
		return j.notRun(permit, answer, verdict)
	}
	j.mayHaveRun = true
	if answer.Status < 300 && !verdict.Signed {
		return j.endAttempt(permit, placer.Failed, "an answer without signature", nil)
	}
	if j.route.Kind == resolver.Streaming && answer.Status == http.StatusOK {
		return j.copyStream(ctx, permit, watch, answer)
	}
	if j.stream != nil {
		return j.endAttempt(permit, placer.Failed, "a stream could not be resumed", nil)
	}
	return j.copyWhole(ctx, permit, answer, verdict)
}

func (j *job) sendFailed(ctx context.Context, permit Permit, err error) outcome {
	target := permit.Decision().Choice.Target.ID
	if errors.Is(err, courier.ErrNotSent) {
		permit.End(placer.Unreachable)
		j.excluded = append(j.excluded, target)
		j.log(logger.AttemptFailed, slog.String("target", target), slog.Bool("sent", false), slog.String("error", err.Error()))
		return again
	}
	j.attempts++
	j.mayHaveRun = true
	return j.endAttempt(permit, j.resultOf(ctx), "no answer", err)
}

// resultOf tells a target that failed from a request that was given up.
func (j *job) resultOf(ctx context.Context) placer.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errImpatient) {
		return placer.Cancelled
	}
	return placer.Failed
}

// endAttempt ends an attempt that gave no whole answer.
func (j *job) endAttempt(permit Permit, result placer.Result, what string, err error) outcome {
	permit.End(result)
	target := permit.Decision().Choice.Target.ID
	j.excluded = append(j.excluded, target)
	attrs := []slog.Attr{slog.String("target", target), slog.Bool("sent", true), slog.String("what", what)}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	j.log(logger.AttemptFailed, attrs...)
	return again
}

// notRun handles a target that did not run the request.
func (j *job) notRun(permit Permit, answer *courier.Answer, verdict Verdict) outcome {
	result := placer.Refused
	if verdict.Misdirected {
		result = placer.Misdirected
	}
	// The rest of the answer says nothing; reading it keeps the connection.
	_, _ = io.CopyN(io.Discard, answer.Body, bufferedBytes)
	target := permit.Decision().Choice.Target.ID
	permit.End(result)
	j.excluded = append(j.excluded, target)
	j.log(logger.AttemptRefused, slog.String("target", target), slog.Int("status", answer.Status))
	return again
}

// left returns the time until the request is given up.
func (j *job) left(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// fail answers a request that no target answered.
func (j *job) fail(ctx context.Context) {
	switch {
	case j.request.Context().Err() != nil, j.stream == nil && j.receiver.Left(j.request):
		j.end("abandoned", 0)
		panic(http.ErrAbortHandler)
	case j.stream != nil && j.stream.begun:
		// Only a broken connection tells the caller that the stream is not whole.
		j.end("streamBroken", j.stream.status)
		panic(http.ErrAbortHandler)
	case j.kept != nil:
		j.pass(j.kept)
	case !j.mayHaveRun:
		j.refuse(rejection{status: http.StatusServiceUnavailable, code: "noTarget", retryAfter: min(noTargetRetry, j.left(ctx)/3)})
	case ctx.Err() != nil:
		j.refuse(rejection{status: http.StatusGatewayTimeout, code: "timeout"})
	default:
		j.refuse(rejection{status: http.StatusBadGateway, code: "targetFailed"})
	}
}

// noTargetRetry is the time in which a target that was just full or gone is
// known to be so and others are chosen.
const noTargetRetry = 200 * time.Millisecond

// end records the end of a request.
func (j *job) end(result string, status int) {
	total := time.Since(j.start)
	j.receiver.Observe(Observation{Route: j.route.Name, Outcome: result, FirstByte: j.firstByte, Total: total})
	var longestPause time.Duration
	if j.stream != nil {
		longestPause = j.stream.longestPause
	}
	j.log(logger.RequestEnded, slog.String("outcome", result), slog.Int("status", status), slog.Int("attempts", j.attempts),
		slog.Duration("firstByte", j.firstByte), slog.Duration("longestPause", longestPause), slog.Duration("total", total))
}

// log writes a record about the request.
func (j *job) log(e logger.Event, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{
		slog.String("request", j.call.ID), slog.String("route", j.route.Name), slog.String("account", j.account),
		slog.Uint64("configVersion", j.version),
	}, attrs...)
	logger.Emit(j.receiver.Logger, e, attrs...)
}
