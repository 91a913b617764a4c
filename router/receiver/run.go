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

// run waits for permits and dispatches until the request has an outcome. once
// is nil unless the request must run at most once.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job, once once) *failure {
	if h.options.Retries != nil {
		h.options.Retries.Request(j.account)
	}
	var exclude []string
	// ran is true once an attempt may have run at a target.
	ran := false
	for attempt := 1; ; {
		permit, err := h.wait(ctx, j, exclude)
		if err != nil {
			return waitFailure(err, ran)
		}
		report := h.attempt(ctx, w, j, permit, once)
		if errors.Is(report.Err, ErrExpired) && !report.Sent {
			// Nothing was sent and no target failed: wait again.
			continue
		}
		ran = ran || report.Outcome == dispatcher.Unknown
		if report.Err == nil {
			return nil
		}
		h.logAttempt(j, permit, report)
		if !h.mayRetry(ctx, j, report, attempt) {
			return finish(w, j, report, ran)
		}
		attempt++
		exclude = append(exclude, permit.Target().ID)
	}
}

func (h *Handler) logAttempt(j *job, p Permit, r *dispatcher.Report) {
	event := logger.RequestFailed
	switch {
	case errors.Is(r.Err, dispatcher.ErrCaller):
		return
	case errors.Is(r.Err, dispatcher.ErrWrongAnswer):
		event = logger.AnswerMismatched
	case r.Started:
		event = logger.StreamBroken
	}
	logger.Emit(h.options.Logger, event, slog.String("requestId", j.id), slog.String("account", j.account),
		slog.String("target", p.Target().ID), slog.String("outcome", string(r.Outcome)), slog.String("error", r.Err.Error()))
}

func (h *Handler) wait(ctx context.Context, j *job, exclude []string) (Permit, error) {
	return h.options.Waiter.Wait(ctx, Request{
		ID: j.id, Account: j.account, Pool: j.pool, Estimate: j.estimate, Affinity: j.affinity,
		Deadline: j.deadline, Exclude: exclude, Bytes: int64(cap(j.body)),
	})
}

func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, j *job, p Permit, once once) *dispatcher.Report {
	report := h.options.Dispatcher.Do(ctx, w, dispatchRequest(j, p, once))
	p.Settle(settlement(report))
	if once != nil && report.Sent {
		once.Finish(deduplicator.Outcome(report.Outcome), answerOf(report))
	}
	return report
}

func dispatchRequest(j *job, p Permit, once once) *dispatcher.Request {
	t := p.Target()
	return &dispatcher.Request{
		Target:  dispatcher.Target{ID: t.ID, Address: t.Address, Engine: j.engine},
		Account: j.account, ID: j.id, Method: j.method, URI: j.uri, Header: j.header, Body: j.body,
		Trailer: j.trailer, Repeatable: j.repeatable, IdempotencyKey: j.key,
		PromptTokens: j.prompt, Capture: once != nil, BeforeSend: beforeSend(p, j, once), Progress: p.Progress,
		AnswerBy: j.answerBy,
	}
}

// beforeSend is the last check before the first byte.
func beforeSend(p Permit, j *job, once once) func() error {
	return func() error {
		if !time.Now().Before(j.deadline) {
			return ErrDeadline
		}
		if err := p.Dispatchable(); err != nil || once == nil {
			return err
		}
		return once.Dispatch()
	}
}

func settlement(r *dispatcher.Report) Settlement {
	s := Settlement{Units: r.Units, FirstToken: r.FirstToken, Interval: r.Interval}
	switch {
	case r.Err == nil && r.Outcome == dispatcher.Complete:
		s.Result = ResultComplete
	case r.Refused:
		s.Result = ResultRefused
	case errors.Is(r.Err, dispatcher.ErrCaller):
		s.Result = ResultCancelled
		if !r.Sent {
			s.Result = ResultUnused
		}
	case r.Sent || errors.Is(r.Err, dispatcher.ErrUnreachable):
		s.Result = ResultFailed
	default:
		s.Result = ResultUnused
	}
	return s
}

func (h *Handler) mayRetry(ctx context.Context, j *job, r *dispatcher.Report, attempt int) bool {
	return j.repeatable && !r.Started && attempt < h.options.Attempts && ctx.Err() == nil &&
		!errors.Is(r.Err, dispatcher.ErrCaller) && time.Now().Before(j.deadline) &&
		h.options.Retries != nil && h.options.Retries.Allow(j.account)
}

// finish ends a request whose last attempt failed.
func finish(w http.ResponseWriter, j *job, r *dispatcher.Report, ran bool) *failure {
	f := attemptFailure(r.Err)
	if ran {
		f.outcome = dispatcher.Unknown
	}
	if !r.Started {
		return f
	}
	if r.Events {
		f.writeEvent(w, j.id)
	}
	// The answer must not look complete: no final chunk, no trailer.
	panic(http.ErrAbortHandler)
}

func attemptFailure(err error) *failure {
	switch {
	case errors.Is(err, dispatcher.ErrUnreachable):
		return notRun(http.StatusServiceUnavailable, "targetUnreachable", "the target could not be reached").after(time.Second)
	case errors.Is(err, dispatcher.ErrRefused):
		return notRun(http.StatusServiceUnavailable, "targetRefused", "the target refused the request").after(time.Second)
	case errors.Is(err, dispatcher.ErrStalled):
		return unknown(http.StatusGatewayTimeout, "targetStalled", "the target did not answer in time")
	case errors.Is(err, dispatcher.ErrWrongAnswer):
		return unknown(http.StatusBadGateway, "wrongAnswer", "the target answered another request")
	case errors.Is(err, ErrDeadline), errors.Is(err, ErrExpired):
		return notRun(http.StatusGatewayTimeout, "deadline", "the deadline passed before dispatch")
	case errors.Is(err, dispatcher.ErrCaller):
		return unknown(http.StatusBadGateway, "cancelled", "the caller went away")
	default:
		return unknown(http.StatusBadGateway, "targetBroken", "the answer of the target broke off")
	}
}

func waitFailure(err error, ran bool) *failure {
	f := notRun(http.StatusServiceUnavailable, "noPermit", "the request could not be scheduled").after(time.Second)
	var hint interface{ RetryAfter() time.Duration }
	switch {
	case errors.Is(err, ErrQueueFull):
		f = notRun(http.StatusTooManyRequests, "queueFull", "the account has too many waiting requests").after(time.Second)
		if errors.As(err, &hint) {
			f.retryAfter = hint.RetryAfter()
		}
	case errors.Is(err, ErrDeadline), errors.Is(err, context.DeadlineExceeded):
		f = notRun(http.StatusGatewayTimeout, "deadline", "the deadline passed before a target was free")
	case errors.Is(err, ErrRemoved):
		f = notRun(http.StatusForbidden, "accountRemoved", "the account was removed")
	case errors.Is(err, ErrStopping):
		f = notRun(http.StatusServiceUnavailable, "stopping", "the router is stopping").after(time.Second)
	case errors.Is(err, context.Canceled):
		f = notRun(http.StatusServiceUnavailable, "cancelled", "the caller went away")
	}
	if ran {
		f.outcome = dispatcher.Unknown
	}
	return f
}
