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
	defaultBodyBytes   = 8 << 20
	defaultHeaderBytes = 32 << 10
	defaultBodyMemory  = 256 << 20
	defaultBodyTimeout = 30 * time.Second
	defaultDeadline    = time.Minute
	maximumDeadline    = time.Hour
	defaultAttempts    = 3
	// finalWrite bounds what the server writes after the handler has returned.
	finalWrite = 30 * time.Second
)

// Options configures a Handler. Waiter, Configs and Dispatcher are required;
// zero values of the limits select defaults.
type Options struct {
	Waiter     Waiter
	Configs    Configs
	Dispatcher Dispatcher
	// Retries is the retry budget; nil: no retries.
	Retries Retries
	// Claims makes claims for idempotency keys; nil: such requests are not run.
	Claims *claimer.Claimer
	// Tickets issued by this daemon; nil: none are issued or redeemed.
	Tickets *claimer.Tickets
	// Forwarder finds the issuers of other daemons' tickets; nil: none is found.
	Forwarder Forwarder
	// Incarnation of this daemon, the issuer named in its tickets.
	Incarnation uint64
	Logger      *slog.Logger
	// BodyBytes bounds one request body, HeaderBytes its headers.
	BodyBytes   int64
	HeaderBytes int
	// BodyMemory bounds all bodies in memory.
	BodyMemory int64
	// BodyTimeout bounds the time to receive one body.
	BodyTimeout time.Duration
	// Deadline applies to requests that name none.
	Deadline time.Duration
	// Attempts bounds the targets tried for one repeatable request.
	Attempts int
}

// Dispatcher sends one request to one target and copies the answer.
type Dispatcher interface {
	Do(ctx context.Context, w http.ResponseWriter, r *dispatcher.Request) *dispatcher.Report
	// Forward sends a ticketed request to the router that may run it.
	Forward(ctx context.Context, w http.ResponseWriter, r *dispatcher.Request) *dispatcher.Report
}

// Handler serves callers.
type Handler struct {
	options Options
	// bodyMemory is the number of body bytes held now.
	bodyMemory atomic.Int64
}

// New returns the handler of the caller listener.
func New(o Options) *Handler {
	setDefault(&o.BodyBytes, defaultBodyBytes)
	setDefault(&o.HeaderBytes, defaultHeaderBytes)
	setDefault(&o.BodyMemory, defaultBodyMemory)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.Deadline, defaultDeadline)
	setDefault(&o.Attempts, defaultAttempts)
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
	h.limitReading(w, r)
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(finalWrite)) }()
	f := h.check(r)
	if !valid {
		f = notRun(http.StatusBadRequest, "badRequestId", "X-Request-Id must be 1 to 128 visible ASCII characters")
	}
	if f == nil {
		f = h.serve(w, r, id)
	}
	if f != nil {
		f.write(w, id)
	}
}

// limitReading bounds the time to receive the body, also of a request that is
// rejected unread, and removes the write deadline of an earlier request.
func (h *Handler) limitReading(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	}
}

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

// check rejects requests for which no further work is due.
func (h *Handler) check(r *http.Request) *failure {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no framing that tells a cut answer from a whole one.
		return notRun(http.StatusHTTPVersionNotSupported, "httpVersion", "use HTTP/1.1 or HTTP/2")
	}
	size := len(r.RequestURI)
	for k, v := range r.Header {
		for i := range v {
			size += len(k) + len(v[i])
		}
	}
	if size > h.options.HeaderBytes {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", "the headers are too large")
	}
	return nil
}

// authenticate finds the account of the caller's key.
func authenticate(c configurer.Config, r *http.Request) (configurer.Account, *failure) {
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

// serve handles a request up to its reply, or returns the error reply. What
// needs much stack is done by functions that return before the answer is
// copied, because every open stream keeps the stack of its callers.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, id string) *failure {
	if r.URL.Path == ticketPath && r.Method == http.MethodPost {
		return h.issueTicket(w, r, id)
	}
	j, release, f := h.prepare(w, r, id)
	if f != nil {
		return f
	}
	defer release()
	if j.ticket != "" {
		if f, done := h.forward(r.Context(), w, j); done {
			return f
		}
	}
	return h.runOnce(r.Context(), w, j)
}

// identify finds the configuration in force and the account of the caller.
func (h *Handler) identify(r *http.Request) (configurer.Config, configurer.Account, *failure) {
	config, ok := h.options.Configs.Current()
	if !ok {
		f := notRun(http.StatusServiceUnavailable, "noConfiguration", "the router has no configuration yet").after(time.Second)
		return config, configurer.Account{}, f
	}
	account, f := authenticate(config, r)
	return config, account, f
}

// prepare authenticates, reads and checks a request. The returned function
// gives the memory of its body back.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, id string) (*job, func(), *failure) {
	config, account, f := h.identify(r)
	if f != nil {
		return nil, nil, f
	}
	j, f := h.route(r)
	if f != nil {
		return nil, nil, f
	}
	j.id, j.account = id, account.ID
	if f := h.readControls(r, j); f != nil {
		return nil, nil, f
	}
	release, f := h.readBody(w, r, j)
	if f != nil {
		return nil, nil, f
	}
	if f := j.parse(config, account); f != nil {
		release()
		return nil, nil, f
	}
	return j, release, nil
}
