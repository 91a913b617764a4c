package receiver

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/deduplicator"
	"monsoondeck.example/logger"
	"monsoondeck.example/router/dispatcher"
)

// runRequest waits for a permit and sends the request to a target, and repeats both
// while retries are allowed. guard is nil unless the request must run at most
// once.
func (h *Handler) runRequest(ctx context.Context, w http.ResponseWriter, cr *callerRequest, guard runGuard) *errorReply {
	if h.options.RetryBudget != nil {
		h.options.RetryBudget.RecordRequest(cr.account)
	}
	var exclude []string
	// mayHaveRun is true once any attempt may have run at a target.
	mayHaveRun := false
	// The deadline of the request ends the loop: attempts with an expired permit do not
	// count.
	for attempt := 1; ; {
		permit, err := h.waitForPermit(ctx, cr, exclude)
		if err != nil {
			return waitError(err, mayHaveRun)
		}
		report := h.sendOnce(ctx, w, cr, permit, guard)
		if errors.Is(report.Err, ErrPermitExpired) && !report.MaybeSent {
			// Nothing was sent and no target failed, so this is not an attempt.
			continue
		}
		mayHaveRun = mayHaveRun || report.Outcome == dispatcher.Unknown
		if report.Err == nil {
			return nil
		}
		h.logAttempt(cr, permit, report)
		if !h.takeRetry(ctx, cr, report, attempt) {
			return endFailedRequest(w, cr, report, mayHaveRun)
		}
		attempt++
		exclude = append(exclude, permit.Target().ID)
	}
}

func (h *Handler) logAttempt(cr *callerRequest, p Permit, r *dispatcher.Report) {
	event := logger.RequestFailed
	switch {
	case errors.Is(r.Err, dispatcher.ErrCallerGone):
		return
	case errors.Is(r.Err, dispatcher.ErrMismatchedResponse):
		event = logger.ResponseMismatched
	case r.Started:
		event = logger.StreamBroken
	}
	logger.Emit(h.options.Logger, event, slog.String("requestId", cr.id), slog.String("account", cr.account),
		slog.String("target", p.Target().ID), slog.String("outcome", string(r.Outcome)), slog.String("error", r.Err.Error()))
}

func (h *Handler) waitForPermit(ctx context.Context, cr *callerRequest, exclude []string) (Permit, error) {
	return h.options.Waiter.Wait(ctx, PermitRequest{
		ID: cr.id, Account: cr.account, Pool: cr.pool, EstimatedUnits: cr.estimatedUnits, PrefixHash: cr.prefixHash,
		Deadline: cr.deadline, Exclude: exclude, BodyBytes: int64(cap(cr.body)),
	})
}

func (h *Handler) sendOnce(ctx context.Context, w http.ResponseWriter, cr *callerRequest, p Permit, guard runGuard) *dispatcher.Report {
	report := h.options.Dispatcher.Do(ctx, w, newDispatchRequest(cr, p, guard))
	p.Settle(newSettlement(report))
	if guard != nil && report.MaybeSent {
		guard.Finish(deduplicator.Outcome(report.Outcome), responseToStore(report))
	}
	return report
}

func newDispatchRequest(cr *callerRequest, p Permit, guard runGuard) *dispatcher.Request {
	t := p.Target()
	return &dispatcher.Request{
		Target:  dispatcher.Target{ID: t.ID, Address: t.Address, Engine: cr.engine},
		Account: cr.account, ID: cr.id, Method: cr.method, URI: cr.targetURI, Header: cr.header, Body: cr.body,
		Trailer: cr.trailer, Repeatable: cr.repeatable, IdempotencyKey: cr.idempotencyKey,
		PromptTokens: cr.promptTokens, Capture: guard != nil, BeforeSend: dispatchCheck(p, cr, guard), Progress: p.Progress,
		ResponseDeadline: cr.respondBy,
	}
}

// dispatchCheck returns the check that is made right before the first byte is
// sent: the deadline, the permit and, if there is one, the guard.
func dispatchCheck(p Permit, cr *callerRequest, guard runGuard) func() error {
	return func() error {
		if !time.Now().Before(cr.deadline) {
			return ErrDeadlinePassed
		}
		if err := p.CheckValid(); err != nil || guard == nil {
			return err
		}
		return guard.Dispatch()
	}
}

// newSettlement derives from the report of an attempt what its permit was used for.
func newSettlement(r *dispatcher.Report) Settlement {
	s := Settlement{Units: r.Units, FirstToken: r.FirstToken, TokenInterval: r.TokenInterval}
	switch {
	case r.Err == nil && r.Outcome == dispatcher.Complete:
		s.Result = ResultComplete
	case r.Refused:
		s.Result = ResultRefused
	case errors.Is(r.Err, dispatcher.ErrCallerGone):
		s.Result = ResultCancelled
		if !r.MaybeSent {
			s.Result = ResultUnused
		}
	case r.MaybeSent || errors.Is(r.Err, dispatcher.ErrUnreachable):
		s.Result = ResultFailed
	default:
		s.Result = ResultUnused
	}
	return s
}

// takeRetry reports whether another attempt is allowed. It spends one retry of the
// account's budget if so.
func (h *Handler) takeRetry(ctx context.Context, cr *callerRequest, r *dispatcher.Report, attempt int) bool {
	return cr.repeatable && !r.Started && attempt < h.options.MaxAttempts && ctx.Err() == nil &&
		!errors.Is(r.Err, dispatcher.ErrCallerGone) && time.Now().Before(cr.deadline) &&
		h.options.RetryBudget != nil && h.options.RetryBudget.AllowRetry(cr.account)
}

// endFailedRequest ends a request whose last attempt failed. It returns the error
// reply, unless the response has already begun: then it panics with
// http.ErrAbortHandler.
func endFailedRequest(w http.ResponseWriter, cr *callerRequest, r *dispatcher.Report, mayHaveRun bool) *errorReply {
	e := attemptError(r.Err)
	if mayHaveRun {
		e.outcome = dispatcher.Unknown
	}
	if !r.Started {
		return e
	}
	if r.EventStream {
		e.writeEvent(w, cr.id)
	}
	// Aborting omits the final chunk and the trailer, so that the response does not
	// look complete.
	panic(http.ErrAbortHandler)
}

// attemptError returns the error reply for a failed attempt.
func attemptError(err error) *errorReply {
	switch {
	case errors.Is(err, dispatcher.ErrUnreachable):
		return notRun(http.StatusServiceUnavailable, "targetUnreachable", "the target could not be reached").withRetryAfter(time.Second)
	case errors.Is(err, dispatcher.ErrRefused):
		return notRun(http.StatusServiceUnavailable, "targetRefused", "the target refused the request").withRetryAfter(time.Second)
	case errors.Is(err, dispatcher.ErrStalled):
		return unknown(http.StatusGatewayTimeout, "targetStalled", "the target did not answer in time")
	case errors.Is(err, dispatcher.ErrMismatchedResponse):
		return unknown(http.StatusBadGateway, "wrongAnswer", "the target answered another request")
	case errors.Is(err, ErrDeadlinePassed), errors.Is(err, ErrPermitExpired):
		return notRun(http.StatusGatewayTimeout, "deadline", "the deadline passed before dispatch")
	case errors.Is(err, dispatcher.ErrCallerGone):
		return unknown(http.StatusBadGateway, "cancelled", "the caller went away")
	default:
		return unknown(http.StatusBadGateway, "targetBroken", "the answer of the target broke off")
	}
}

// waitError returns the error reply for a request that got no permit. Its outcome
// is unknown if an earlier attempt may have run.
func waitError(err error, mayHaveRun bool) *errorReply {
	e := notRun(http.StatusServiceUnavailable, "noPermit", "the request could not be scheduled").withRetryAfter(time.Second)
	var hint interface{ RetryAfter() time.Duration }
	switch {
	case errors.Is(err, ErrQueueFull):
		e = notRun(http.StatusTooManyRequests, "queueFull", "the account has too many waiting requests").withRetryAfter(time.Second)
		if errors.As(err, &hint) {
			e.retryAfter = hint.RetryAfter()
		}
	case errors.Is(err, ErrDeadlinePassed), errors.Is(err, context.DeadlineExceeded):
		e = notRun(http.StatusGatewayTimeout, "deadline", "the deadline passed before a target was free")
	case errors.Is(err, ErrAccountRemoved):
		e = notRun(http.StatusForbidden, "accountRemoved", "the account was removed")
	case errors.Is(err, ErrStopping):
		e = notRun(http.StatusServiceUnavailable, "stopping", "the router is stopping").withRetryAfter(time.Second)
	case errors.Is(err, context.Canceled):
		e = notRun(http.StatusServiceUnavailable, "cancelled", "the caller went away")
	}
	if mayHaveRun {
		e.outcome = dispatcher.Unknown
	}
	return e
}
