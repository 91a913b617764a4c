package receiver

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/logger"
)

// handleSendError handles an attempt that ended without a response header.
func (p *proxyRequest) handleSendError(ctx context.Context, permit Permit, err error) attemptOutcome {
	if errors.Is(err, courier.ErrNotSent) {
		target := permit.Decision().Choice.Target.ID
		permit.End(p.unsentResult(ctx, err))
		if !errors.Is(err, courier.ErrWithdrawn) || errors.Is(err, courier.ErrSendingFull) {
			p.excluded = append(p.excluded, target)
		}
		p.keepRetry()
		p.log(logger.AttemptFailed, slog.String("target", target), slog.Bool("sent", false), slog.String("error", err.Error()))
		if !p.wanted(ctx) {
			return outcomeFailed
		}
		return outcomeRetry
	}
	p.attempts++
	p.mayHaveRun = true
	return p.failAttempt(permit, p.failureResult(ctx, err), "no response", failureCause(ctx, err))
}

// unsentResult returns the result of an attempt that was not sent: Unsent if that says nothing
// about the target.
func (p *proxyRequest) unsentResult(ctx context.Context, err error) placer.Result {
	switch {
	case errors.Is(err, courier.ErrWithdrawn):
		return placer.Unsent
	case errors.Is(err, courier.ErrRefused):
		return placer.Absent
	case p.failureResult(ctx, err) == placer.Cancelled, p.timeLeft(ctx) < minTimeLeft:
		// A connection attempt can end just before the context does, at the same deadline.
		return placer.Unsent
	}
	return placer.Unreachable
}

// failureResult returns the result of an incomplete attempt that ended with the error:
// Cancelled if the request was cancelled or timed out, Broken if the connection broke,
// and Failed if the target failed or stalled.
func (p *proxyRequest) failureResult(ctx context.Context, err error) placer.Result {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		return placer.Cancelled
	case ctx.Err() == nil && errors.Is(err, courier.ErrBroken):
		return placer.Broken
	}
	return placer.Failed
}

// failureCause adds to the error of an incomplete attempt why the daemon itself ended the
// attempt, unless it did not.
func failureCause(ctx context.Context, err error) error {
	if ctx.Err() == nil || errors.Is(err, context.Cause(ctx)) {
		return err
	}
	return errors.Wrap(context.Cause(ctx), err.Error())
}

// failAttempt ends an attempt that may have run but got no usable response. err may
// be nil.
func (p *proxyRequest) failAttempt(permit Permit, result placer.Result, reason string, err error) attemptOutcome {
	permit.End(result)
	target := permit.Decision().Choice.Target.ID
	p.excluded = append(p.excluded, target)
	attrs := []slog.Attr{slog.String("target", target), slog.Bool("sent", true), slog.String("what", reason),
		slog.Bool("began", p.stream != nil && p.stream.started), slog.Duration("silent", time.Since(p.lastData)),
		slog.String("parts", p.formatParts()), slog.String("fingerprint", p.formatFingerprint())}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	p.log(logger.AttemptFailed, attrs...)
	return outcomeRetry
}

// handleNotRun ends an attempt whose target did not run the request. cancel cancels the
// attempt.
func (p *proxyRequest) handleNotRun(permit Permit, response *courier.Response, info ResponseInfo, cancel context.CancelCauseFunc) attemptOutcome {
	result := placer.Refused
	if info.Misdirected {
		result = placer.Misdirected
	}
	// The body is not needed, but reading it makes the connection reusable.
	timer := time.AfterFunc(refusalReadTimeout, func() { cancel(nil) })
	_, _ = io.CopyN(io.Discard, response.Body, maxBufferedBytes)
	timer.Stop()
	target := permit.Decision().Choice.Target.ID
	permit.End(result)
	p.excluded = append(p.excluded, target)
	p.log(logger.AttemptRefused, slog.String("target", target), slog.Int("status", response.Status))
	return outcomeRetry
}

// fail ends a request for which there is no complete response and no further attempt.
func (p *proxyRequest) fail(ctx context.Context) {
	switch {
	case p.callerLeft():
		p.recordEnd("abandoned", 0)
		panic(http.ErrAbortHandler)
	case p.stream != nil && p.stream.started:
		// Only an aborted connection shows the caller that the stream is incomplete.
		p.recordEnd("streamBroken", p.stream.status)
		p.breakOff()
	case p.fallback != nil:
		p.writeResponse(p.fallback)
	case !p.mayHaveRun && errors.Is(context.Cause(ctx), errEnding):
		p.rejectStopping()
	case !p.mayHaveRun:
		p.reject(rejection{status: http.StatusServiceUnavailable, code: "noTarget", retryAfter: max(min(noTargetRetryAfter, p.timeLeft(ctx)/3), 0)})
	case errors.Is(context.Cause(ctx), errEnding):
		p.reject(rejection{status: http.StatusGatewayTimeout, code: codeStopping})
	case ctx.Err() != nil:
		p.reject(rejection{status: http.StatusGatewayTimeout, code: "timeout"})
	default:
		p.reject(rejection{status: http.StatusBadGateway, code: "targetFailed"})
	}
}

// noTargetRetryAfter is the time after which a target that was just found full or gone
// is known to be so, and others are chosen.
const noTargetRetryAfter = 200 * time.Millisecond
