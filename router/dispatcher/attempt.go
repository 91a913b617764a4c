package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// attempt is one call of Do.
type attempt struct {
	d       *Dispatcher
	r       *Request
	w       http.ResponseWriter
	control *http.ResponseController
	ctx     context.Context
	meter   meter
	// conn carries the current exchange; nil while no byte can have been sent.
	conn net.Conn
	// resent is true once net/http has sent the request again by itself.
	resent  bool
	gate    gate
	started bool
	events  bool
	// forwarding is true when the receiving end is another router.
	forwarding bool
	// decided is the outcome of an answer that was passed on whole.
	decided  Outcome
	status   int
	captured capture
	stream   streamIdentity
}

// Do sends r to its target and copies the answer to w. After an error with
// Report.Started the caller must abort the connection, so that the answer
// cannot look complete.
func (d *Dispatcher) Do(ctx context.Context, w http.ResponseWriter, r *Request) *Report {
	return d.attempt(ctx, w, r).execute()
}

// Forward sends r, with the caller's own headers, to another router. The
// outcome in the answer is passed on. r is not repeatable.
func (d *Dispatcher) Forward(ctx context.Context, w http.ResponseWriter, r *Request) *Report {
	a := d.attempt(ctx, w, r)
	a.forwarding = true
	return a.execute()
}

func (d *Dispatcher) attempt(ctx context.Context, w http.ResponseWriter, r *Request) *attempt {
	a := &attempt{d: d, r: r, w: w, control: http.NewResponseController(w), decided: Complete}
	a.captured.enabled = r.Capture
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.meter.begin(d.options, r, cancel, func() { _ = a.control.SetWriteDeadline(time.Now()) })
	return a
}

func (a *attempt) execute() *Report {
	err := a.run()
	a.gate.close()
	a.meter.end()
	a.meter.cancel(nil)
	return a.report(err)
}

func (a *attempt) run() error {
	res, err := a.send(nil)
	if err != nil {
		return err
	}
	a.status = res.StatusCode
	a.meter.rejected.Store(res.StatusCode >= http.StatusBadRequest)
	if refused(res) {
		return a.discard(res, ErrRefused)
	}
	if a.r.Target.Engine && res.StatusCode == http.StatusOK && isEventStream(res.Header) {
		a.events = true
		return a.copyEvents(res)
	}
	return a.copyAnswer(res)
}

// discard closes the body of an answer that is not passed on.
func (a *attempt) discard(res *http.Response, reason error) error {
	if err := res.Body.Close(); err != nil {
		return errors.WithSecondaryError(reason, err)
	}
	return reason
}

func refused(res *http.Response) bool {
	return (res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable) &&
		res.Header.Get(HeaderRefused) == "true"
}

// send performs one exchange up to the headers of the answer and checks that
// the answer belongs to it.
func (a *attempt) send(extra http.Header) (*http.Response, error) {
	id := a.r.ID
	if !a.forwarding {
		id = a.d.prefix + strconv.FormatUint(a.d.sequence.Add(1), 10)
	}
	req, err := a.request(id, extra)
	if err != nil {
		return nil, err
	}
	transport := a.d.fresh
	if a.r.Repeatable {
		transport = a.d.pooled
		if err := a.gate.pass(a.r.BeforeSend); err != nil {
			return nil, err
		}
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, a.explain(err)
	}
	a.meter.touch()
	if res.Header.Get(HeaderRequestID) != id || res.StatusCode == http.StatusSwitchingProtocols {
		a.d.stats.wrong.Add(1)
		// The connection is out of step; without this it could be pooled again.
		closing := a.conn.Close()
		return nil, errors.WithSecondaryError(a.discard(res, ErrWrongAnswer), closing)
	}
	if a.stream.request == "" {
		a.stream.request = id
	}
	return res, nil
}

func (a *attempt) request(id string, extra http.Header) (*http.Request, error) {
	u, err := url.ParseRequestURI(a.r.URI)
	if err != nil {
		return nil, errors.Wrap(err, "parse the request target")
	}
	u.Scheme, u.Host = "http", a.r.Target.Address
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			a.resent = a.resent || a.conn != nil
			a.conn = i.Conn
		},
	})
	req := &http.Request{
		Method: a.r.Method, URL: u, Host: u.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: a.requestHeader(id),
	}
	for k, v := range extra {
		req.Header[k] = v
	}
	a.setBody(req)
	if !a.r.Repeatable {
		return req.WithContext(context.WithValue(ctx, beforeSendKey{}, func() error { return a.gate.pass(a.r.BeforeSend) })), nil
	}
	if len(a.r.Body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(a.r.Body)), nil }
	}
	// A present but empty key lets net/http replay a request whose pooled
	// connection the target had already closed; it sends no such header.
	req.Header["X-Idempotency-Key"] = []string{}
	return req.WithContext(ctx), nil
}

func (a *attempt) setBody(req *http.Request) {
	if len(a.r.Trailer) > 0 {
		req.Trailer = make(http.Header, len(a.r.Trailer))
		copySafe(req.Trailer, a.r.Trailer, callerOnly)
		req.ContentLength = -1
		req.Body = io.NopCloser(bytes.NewReader(a.r.Body))
		return
	}
	if len(a.r.Body) == 0 {
		req.Body = http.NoBody
		return
	}
	req.ContentLength = int64(len(a.r.Body))
	req.Body = io.NopCloser(bytes.NewReader(a.r.Body))
}

// explain turns an error of the transport or the body into one of this package.
func (a *attempt) explain(err error) error {
	switch {
	case a.gate.failure() != nil:
		return a.gate.failure()
	case errors.Is(context.Cause(a.ctx), ErrStalled):
		return errors.WithSecondaryError(ErrStalled, err)
	case a.ctx.Err() != nil:
		return errors.WithSecondaryError(ErrCaller, err)
	case a.conn == nil:
		return errors.WithSecondaryError(ErrUnreachable, err)
	default:
		return errors.WithSecondaryError(ErrBroken, err)
	}
}

// sent is true when a byte of the request may have left. A fresh connection
// that passed the gate counts, even if the transport then gave it up.
func (a *attempt) sent() bool {
	return a.conn != nil || !a.r.Repeatable && a.gate.passed()
}

func (a *attempt) report(err error) *Report {
	r := &Report{
		Outcome: a.decided, Sent: a.sent(), Started: a.started, Events: a.events, Status: a.status, Err: err,
		Refused: errors.Is(err, ErrRefused), FirstToken: a.meter.firstToken(), Interval: a.meter.interval(),
	}
	switch {
	case !r.Sent || r.Refused && !a.resent:
		r.Outcome = NotRun
	case err != nil:
		r.Outcome = Unknown
	}
	if r.Outcome != NotRun {
		r.Units = a.meter.units()
	}
	if err == nil {
		r.Answer = a.captured.answer(a.status)
	}
	if errors.Is(err, ErrBroken) || errors.Is(err, ErrStalled) {
		a.d.stats.broken.Add(1)
	}
	return r
}
