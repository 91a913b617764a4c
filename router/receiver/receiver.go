package receiver

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/claimer"
	"monsoondeck.example/router/dispatcher"
)

// Defaults of Options.
const (
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxBufferedBytes = 256 << 20
	defaultBodyTimeout      = 30 * time.Second
	defaultDeadline         = time.Minute
	maximumDeadline         = time.Hour
	defaultMaxAttempts      = 3
	// finalWriteTimeout bounds the writes that the server makes after the handler
	// has returned.
	finalWriteTimeout = 30 * time.Second
)

// Options configures a Handler. Waiter, ConfigSource and Dispatcher are
// required; a limit that is zero selects its default.
type Options struct {
	Waiter       Waiter
	ConfigSource ConfigSource
	Dispatcher   Dispatcher
	// RetryBudget limits the retries of each account; nil disables retries.
	RetryBudget RetryBudget
	// Claimer claims idempotency keys. If it is nil, requests with a key are
	// rejected.
	Claimer *claimer.Claimer
	// Tickets issues and redeems the tickets of this daemon; nil disables both.
	Tickets *claimer.Tickets
	// IssuerResolver finds the daemons that issued tickets; if it is nil, only
	// tickets of this daemon are accepted.
	IssuerResolver IssuerResolver
	// Incarnation identifies this run of the daemon; its tickets contain it.
	Incarnation uint64
	Logger      *slog.Logger
	// MaxBodyBytes bounds one request body, MaxHeaderBytes the URI and headers of
	// one request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxBufferedBytes bounds the buffers of all request bodies together.
	MaxBufferedBytes int64
	// BodyTimeout bounds the time to receive one body.
	BodyTimeout time.Duration
	// DefaultDeadline applies to requests without a Monsoondeck-Deadline-Ms header.
	DefaultDeadline time.Duration
	// MaxAttempts bounds the targets tried for one repeatable request.
	MaxAttempts int
}

// Dispatcher sends one request to one target and copies the response to the
// caller.
type Dispatcher interface {
	// Do sends a request to a target.
	Do(ctx context.Context, w http.ResponseWriter, r *dispatcher.Request) *dispatcher.Report
	// Forward sends a request with a ticket to the router that issued the ticket.
	Forward(ctx context.Context, w http.ResponseWriter, r *dispatcher.Request) *dispatcher.Report
}

// Handler is the http.Handler of the caller listener.
type Handler struct {
	options Options
	// bufferedBytes is the current size of all request body buffers.
	bufferedBytes atomic.Int64
}

// New returns a Handler.
func New(o Options) *Handler {
	setDefault(&o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&o.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.DefaultDeadline, defaultDeadline)
	setDefault(&o.MaxAttempts, defaultMaxAttempts)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Handler{options: o}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, valid := requestID(r)
	h.setConnectionDeadlines(w, r)
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(finalWriteTimeout)) }()
	e := h.checkProtocol(r)
	if !valid {
		e = notRun(http.StatusBadRequest, "badRequestId", "X-Request-Id must be 1 to 128 visible ASCII characters")
	}
	if e == nil {
		e = h.serve(w, r, id)
	}
	if e != nil {
		e.write(w, id)
	}
}

// setConnectionDeadlines bounds the time to receive the body, even if the
// request is rejected before its body is read, and removes the write deadline
// that an earlier request set on the connection.
func (h *Handler) setConnectionDeadlines(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	}
}

// requestID returns the request id of the caller. If the header is absent or
// invalid, it returns a generated id; the result is false for an invalid header.
func requestID(r *http.Request) (string, bool) {
	id := r.Header.Get(dispatcher.HeaderRequestID)
	if id == "" {
		return rand.Text(), true
	}
	visible := strings.IndexFunc(id, func(c rune) bool { return c < '!' || c > '~' }) < 0
	if len(id) > 128 || !visible {
		return rand.Text(), false
	}
	return id, true
}

// checkProtocol rejects requests with an unsupported HTTP version or oversize
// headers.
func (h *Handler) checkProtocol(r *http.Request) *errorReply {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no framing that tells a truncated response from a complete one.
		return notRun(http.StatusHTTPVersionNotSupported, "httpVersion", "use HTTP/1.1 or HTTP/2")
	}
	size := len(r.RequestURI)
	for k, v := range r.Header {
		for i := range v {
			size += len(k) + len(v[i])
		}
	}
	if size > h.options.MaxHeaderBytes {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", "the headers are too large")
	}
	return nil
}

// authenticate returns the account that the bearer key of the request belongs to.
func authenticate(c configurer.Config, r *http.Request) (configurer.Account, *errorReply) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return configurer.Account{}, notRun(http.StatusUnauthorized, "noKey", "send Authorization: Bearer <key>")
	}
	a, ok := c.AccountByKeyHash(configurer.KeyHash(key))
	if !ok {
		return configurer.Account{}, notRun(http.StatusUnauthorized, "unknownKey", "the key is not known; it may have been rotated")
	}
	return a, nil
}

// serve handles a request. It returns the error reply to send, or nil if a
// response has been written. Work that needs a large stack is done in functions
// that return before the response is copied, because the stack of a goroutine
// stays in memory as long as its stream is open.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, id string) *errorReply {
	if r.URL.Path == ticketPath && r.Method == http.MethodPost {
		return h.issueTicket(w, r, id)
	}
	cr, release, e := h.prepare(w, r, id)
	if e != nil {
		return e
	}
	defer release()
	if cr.ticket != "" {
		if e, forwarded := h.forward(r.Context(), w, cr); forwarded {
			return e
		}
	}
	return h.runGuarded(r.Context(), w, cr)
}

// identify returns the current configuration and the account of the caller.
func (h *Handler) identify(r *http.Request) (configurer.Config, configurer.Account, *errorReply) {
	config, ok := h.options.ConfigSource.Current()
	if !ok {
		e := notRun(http.StatusServiceUnavailable, "noConfiguration", "the router has no configuration yet").withRetryAfter(time.Second)
		return config, configurer.Account{}, e
	}
	account, e := authenticate(config, r)
	return config, account, e
}

// prepare authenticates, reads and checks a request. The returned function
// releases the memory reserved for its body.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, id string) (*callerRequest, func(), *errorReply) {
	config, account, e := h.identify(r)
	if e != nil {
		return nil, nil, e
	}
	cr, e := h.newCallerRequest(r)
	if e != nil {
		return nil, nil, e
	}
	cr.id, cr.account = id, account.ID
	if e := h.readControlHeaders(r, cr); e != nil {
		return nil, nil, e
	}
	release, e := h.readBody(w, r, cr)
	if e != nil {
		return nil, nil, e
	}
	if e := cr.parse(config, account); e != nil {
		release()
		return nil, nil, e
	}
	return cr, release, nil
}
