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

// attempt is the state of one call of Do or Forward.
type attempt struct {
	dispatcher *Dispatcher
	request    *Request
	writer     http.ResponseWriter
	control    *http.ResponseController
	ctx        context.Context
	meter      meter
	// conn is the connection last used; nil while no byte can have been sent.
	conn net.Conn
	// resent is true if the attempt used more than one connection, so that the request
	// may have been sent more than once.
	resent      bool
	sendCheck   sendCheck
	started     bool
	eventStream bool
	// forwarding is true if the request goes to another router.
	forwarding bool
	// outcome applies if the response was copied whole.
	outcome  Outcome
	status   int
	captured capture
	stream   streamIdentity
}

// Do sends r to its target and copies the response to w. If Report.Err and
// Report.Started are set, the caller of Do must abort the connection, so that the
// response does not look complete.
func (d *Dispatcher) Do(ctx context.Context, w http.ResponseWriter, r *Request) *Report {
	return d.attempt(ctx, w, r).execute()
}

// Forward sends r, with the caller's own headers, to another router. It passes on the
// outcome in that router's response. r must not be repeatable.
func (d *Dispatcher) Forward(ctx context.Context, w http.ResponseWriter, r *Request) *Report {
	a := d.attempt(ctx, w, r)
	a.forwarding = true
	return a.execute()
}

func (d *Dispatcher) attempt(ctx context.Context, w http.ResponseWriter, r *Request) *attempt {
	a := &attempt{dispatcher: d, request: r, writer: w, control: http.NewResponseController(w), outcome: Complete}
	a.captured.enabled = r.Capture
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.meter.begin(d.options, r, cancel, func() { _ = a.control.SetWriteDeadline(time.Now()) })
	return a
}

func (a *attempt) execute() *Report {
	err := a.run()
	a.sendCheck.end()
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
		return a.closeBody(res, ErrRefused)
	}
	if a.request.Target.Engine && res.StatusCode == http.StatusOK && isEventStream(res.Header) {
		a.eventStream = true
		return a.copyEvents(res)
	}
	return a.copyResponse(res)
}

// closeBody closes the body of a response that is not copied further. It returns
// reason, with an error of closing attached.
func (a *attempt) closeBody(res *http.Response, reason error) error {
	if err := res.Body.Close(); err != nil {
		return errors.WithSecondaryError(reason, err)
	}
	return reason
}

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// refused reports whether the target refused the request without running it.
func refused(res *http.Response) bool {
	return (res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable) &&
		res.Header.Get(HeaderRefused) == "true"
}

// send sends the request, waits for the headers of the response and checks that the
// response carries the id of the request.
func (a *attempt) send(extra http.Header) (*http.Response, error) {
	id := a.request.ID
	if !a.forwarding {
		id = a.dispatcher.prefix + strconv.FormatUint(a.dispatcher.sequence.Add(1), 10)
	}
	req, err := a.newRequest(id, extra)
	if err != nil {
		return nil, err
	}
	transport := a.dispatcher.singleUse
	if a.request.Repeatable {
		transport = a.dispatcher.pooled
		if err := a.sendCheck.run(a.request.BeforeSend); err != nil {
			return nil, err
		}
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, a.classifyError(err)
	}
	a.meter.recordActivity()
	var invalid error
	switch {
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		invalid = errors.Wrapf(ErrInvalidResponse, "status %03d", res.StatusCode)
	case res.Header.Get(HeaderRequestID) != id || res.StatusCode == http.StatusSwitchingProtocols:
		a.dispatcher.stats.mismatched.Add(1)
		invalid = ErrMismatchedResponse
	}
	if invalid != nil {
		// The responses on this connection no longer match their requests. Without
		// Close, it could return to the pool.
		closing := a.conn.Close()
		return nil, errors.WithSecondaryError(a.closeBody(res, invalid), closing)
	}
	if a.stream.request == "" {
		a.stream.request = id
	}
	return res, nil
}

// newRequest builds the HTTP request. extra headers replace those of the same name.
func (a *attempt) newRequest(id string, extra http.Header) (*http.Request, error) {
	u, err := url.ParseRequestURI(a.request.URI)
	if err != nil {
		return nil, errors.Wrap(err, "parse request URI")
	}
	u.Scheme, u.Host = "http", a.request.Target.Address
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			a.resent = a.resent || a.conn != nil
			a.conn = i.Conn
		},
	})
	req := &http.Request{
		Method: a.request.Method, URL: u, Host: u.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: a.requestHeader(id),
	}
	for k, v := range extra {
		req.Header[k] = v
	}
	a.setBody(req)
	if !a.request.Repeatable {
		return req.WithContext(context.WithValue(ctx, beforeSendKey{}, func() error { return a.sendCheck.run(a.request.BeforeSend) })), nil
	}
	if len(a.request.Body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(a.request.Body)), nil }
	}
	// An empty list of values lets net/http resend the request if the target had
	// already closed the pooled connection. No header is sent for it.
	req.Header["X-Idempotency-Key"] = []string{}
	return req.WithContext(ctx), nil
}

func (a *attempt) setBody(req *http.Request) {
	if len(a.request.Trailer) > 0 {
		req.Trailer = make(http.Header, len(a.request.Trailer))
		copyPublicHeader(req.Trailer, a.request.Trailer, withheldRequestHeaders)
		req.ContentLength = -1
		req.Body = io.NopCloser(bytes.NewReader(a.request.Body))
		return
	}
	if len(a.request.Body) == 0 {
		req.Body = http.NoBody
		return
	}
	req.ContentLength = int64(len(a.request.Body))
	req.Body = io.NopCloser(bytes.NewReader(a.request.Body))
}

// classifyError maps an error of the transport or the body to an error of this
// package, or to that of Request.BeforeSend.
func (a *attempt) classifyError(err error) error {
	switch {
	case a.sendCheck.failure() != nil:
		return a.sendCheck.failure()
	case errors.Is(context.Cause(a.ctx), ErrStalled):
		return errors.WithSecondaryError(ErrStalled, err)
	case a.ctx.Err() != nil:
		return errors.WithSecondaryError(ErrCallerGone, err)
	case a.conn == nil:
		return errors.WithSecondaryError(ErrUnreachable, err)
	default:
		return errors.WithSecondaryError(ErrIncompleteResponse, err)
	}
}

// maybeSent reports whether a byte of the request may have been sent. A single-use
// connection that passed the send check counts, even if the transport then abandoned
// it.
func (a *attempt) maybeSent() bool {
	return a.conn != nil || !a.request.Repeatable && a.sendCheck.passed()
}

func (a *attempt) report(err error) *Report {
	r := &Report{
		Outcome: a.outcome, MaybeSent: a.maybeSent(), Started: a.started, EventStream: a.eventStream, Status: a.status, Err: err,
		Refused: errors.Is(err, ErrRefused), FirstToken: a.meter.firstToken(), TokenInterval: a.meter.interval(),
	}
	switch {
	case !r.MaybeSent || r.Refused && !a.resent:
		r.Outcome = NotRun
	case err != nil:
		r.Outcome = Unknown
	}
	if r.Outcome != NotRun {
		r.Units = a.meter.units()
	}
	if err == nil {
		r.Response = a.captured.response(a.status)
	}
	if errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrStalled) {
		a.dispatcher.stats.incompleteResponses.Add(1)
	}
	return r
}
