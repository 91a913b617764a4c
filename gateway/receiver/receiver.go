package receiver

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

const (
	// defaultTimeout applies to requests for which neither caller nor route sets a
	// timeout.
	defaultTimeout = 60 * time.Second
	// defaultObjective is the time to the first event that is aimed at on routes without
	// an objective.
	defaultObjective = time.Second
	// defaultOutputTokens is the number of output tokens that is assumed for an inference
	// engine if the request has neither an estimate nor a maximum.
	defaultOutputTokens = 256
	// defaultBodyBytes bounds bodies if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// noConfigRetryAfter is about the time that a starting daemon takes to read its
	// configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is short because other daemons can serve the request.
	stoppingRetryAfter = 50 * time.Millisecond
	// hostBusyRetryAfter is short because a new connection may reach a host with free
	// capacity.
	hostBusyRetryAfter = 100 * time.Millisecond
	// memoryRetryAfter is about the time for which a request in progress holds the memory
	// of its body.
	memoryRetryAfter = 300 * time.Millisecond
	// bodyReadTimeout bounds reading a body, so that slow callers do not hold memory. It also
	// holds for a body that is not read, of which the HTTP server discards a part.
	bodyReadTimeout = 10 * time.Second
)

// Options are the dependencies of a Handler.
type Options struct {
	Protocol      Protocol
	Permits       PermitSource
	StreamOrigins StreamOrigins
	Configs       Configs
	TargetClient  TargetClient
	TargetChecker TargetChecker
	RetryBudget   RetryBudget
	ShutdownState ShutdownState
	LoadShedder   LoadShedder
	Tally         Tally
	// Arrived returns the time at which a request arrived, whose header was just read; the time
	// of the call if that is unknown. It is called once for each request.
	Arrived func(r *http.Request) time.Time
	// CallerDisconnected reports whether the caller has closed its connection.
	CallerDisconnected func(r *http.Request) bool
	// ResetOnClose makes the connection of the request end with a reset when it is closed.
	ResetOnClose func(r *http.Request)
	// Memory is the account of the memory that callers and targets make the process hold.
	Memory *limiter.Admission
	// ChargeHeader charges the header of a request to its connection, or returns an error if
	// memory is short.
	ChargeHeader func(r *http.Request, size, fields int) error
	// Clock returns the time since the start of the process.
	Clock func() time.Duration
	// Logger receives a record for each decision about a request.
	Logger *slog.Logger
	// Observe is called at the end of each request.
	Observe func(Observation)
}

// Observation describes a request that has ended, for metrics.
type Observation struct {
	// Route is the name of the route; empty if there is none for the request. Outcome is
	// "answered", the code of a rejection, or the way in which the response broke off.
	Route, Outcome string
	// FirstByte is the time from the arrival of the request to the first byte of the
	// response, or 0 if a target sent none. Total is the time to the end of the request.
	FirstByte, Total time.Duration
	// Resumption says what became of a stream that the caller took up again; empty for other
	// requests.
	Resumption Resumption
}

// Handler is the http.Handler for requests of callers.
type Handler struct {
	Options
	// nextID is the source of the IDs that identify requests within the daemon.
	nextID atomic.Uint64
	// ActiveRequests is the number of requests in progress.
	ActiveRequests atomic.Int64

	mutex sync.Mutex
	// durations holds the longest recent duration of a request on each route. It decays
	// by durationDecay.
	durations map[string]time.Duration
}

// New returns a Handler.
func New(o Options) *Handler {
	return &Handler{Options: o, durations: map[string]time.Duration{}}
}

// ServeHTTP serves one request.
func (rc *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc.ActiveRequests.Add(1)
	defer rc.ActiveRequests.Add(-1)
	p := &proxyRequest{receiver: rc, writer: w, request: r, control: http.NewResponseController(w), arrived: rc.Arrived(r)}
	p.info = rc.Protocol.ParseRequest(r)
	if r.ContentLength != 0 {
		// It counts from now, since the body may have arrived with the header and not been read.
		// The error is ignored: response writers of tests may not support deadlines.
		_ = p.control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	since, _, stopping := rc.ShutdownState.Stopping()
	p.late = stopping && since > stopNoticeTime
	if rc.LoadShedder.ShouldCloseConnections() {
		w.Header().Set("Connection", "close")
	}
	if !p.resolve() {
		return
	}
	rc.Tally.Asked(p.sharingAccount(), p.cost())
	if !rc.LoadShedder.Admit(r, p.sharingAccount(), rc.ActiveRequests.Load()) {
		// The body is not read: that would cost more than the rejection saves.
		w.Header().Set("Connection", "close")
		p.reject(rejection{status: http.StatusServiceUnavailable, code: CodeBusy, retryAfter: hostBusyRetryAfter})
		return
	}
	defer p.charge.Release()
	// The daemon may end, or begin to stop, while the body arrives.
	stopWatch := context.AfterFunc(rc.ShutdownState.Ending(), func() { _ = p.control.SetReadDeadline(longAgo) })
	if !p.readBody() {
		stopWatch()
		return
	}
	if !stopWatch() || p.endsTooEarly() {
		p.rejectStopping()
		return
	}
	p.fingerprint = fingerprint(p.request.Method, p.request.RequestURI, p.account, p.body)
	p.serve()
}

// resolve determines route, account and service of the request. It returns false if
// it has rejected the request.
func (p *proxyRequest) resolve() bool {
	rc := p.receiver
	config, ok := rc.Configs.Current()
	if !ok {
		p.reject(rejection{status: http.StatusServiceUnavailable, code: "noConfiguration", retryAfter: noConfigRetryAfter})
		return false
	}
	p.version = config.Version()
	if !p.checkHeader(config.Limits()) {
		return false
	}
	path, _, _ := strings.Cut(p.request.RequestURI, "?")
	if p.route, ok = config.Resolve(p.request.Host, path); !ok {
		p.reject(rejection{status: http.StatusNotFound, code: "noRoute"})
		return false
	}
	p.priority = p.route.Priority
	p.regions = resolver.AllowedRegions(p.route, resolver.Account{})
	if config.HasAccounts() && !p.route.Anonymous {
		account, ok := config.AccountByKey(p.info.APIKey)
		if !ok {
			p.reject(rejection{status: http.StatusUnauthorized, code: CodeUnknownKey})
			return false
		}
		p.account = account.Name
		p.regions = resolver.AllowedRegions(p.route, account)
		if account.HasPriority {
			p.priority = account.Priority
		}
	}
	p.setService(config, p.route.Destination(rand.Uint64()))
	p.bodyLimit = config.Limits().BodyBytes
	return true
}

// setService sets the service whose targets get the request.
func (p *proxyRequest) setService(config resolver.Config, name string) {
	service, _ := config.Service(name)
	p.service, p.engine, p.healthPath = name, service.Engine, service.HealthPath
}

// stopNoticeTime is the time after the stop signal for which callers cannot know that
// the daemon is stopping, because the balancer still sends it new connections. The
// platform counts 3 s from the signal until the caller sends; a busy host notices the
// signal later than the request.
const stopNoticeTime = 3*time.Second - 200*time.Millisecond

// endsTooEarly reports whether the daemon stops and too little time is left before it
// ends to send the request, which has not been sent yet.
func (p *proxyRequest) endsTooEarly() bool {
	_, left, stopping := p.receiver.ShutdownState.Stopping()
	return stopping && p.requiredTime() > left
}

// requiredTime returns the time that must be left before the daemon ends for the
// request to be sent. For requests that arrived within stopNoticeTime, it is the time
// that the request is likely to take. Later requests arrive on connections that callers
// were told to close; they are sent only if they cannot be cut at all.
func (p *proxyRequest) requiredTime() time.Duration {
	if p.late {
		return p.timeout() - time.Since(p.arrived)
	}
	rc := p.receiver
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	return max(rc.durations[p.route.Name], 2*p.objective())
}

// objective returns the time to the first event that is aimed at.
func (p *proxyRequest) objective() time.Duration {
	if p.route.Objective <= 0 {
		return defaultObjective
	}
	return p.route.Objective
}

// rejectStopping refuses the request, which was not sent, because the daemon stops.
func (p *proxyRequest) rejectStopping() {
	p.reject(rejection{status: http.StatusServiceUnavailable, code: codeStopping, retryAfter: stoppingRetryAfter})
}

// callerTimeout returns how long the caller waits.
func (p *proxyRequest) callerTimeout() time.Duration {
	if p.info.Timeout <= 0 {
		return defaultTimeout
	}
	return p.info.Timeout
}

// timeout returns the longest time that the request may take.
func (p *proxyRequest) timeout() time.Duration {
	timeout := p.callerTimeout()
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	return timeout
}

// durationDecay is the factor by which the longest duration of a route decreases with
// each response, so that it follows the load within a few hundred responses.
const durationDecay = 0.995

// observeDuration updates the longest recent duration of a route.
func (rc *Handler) observeDuration(route string, d time.Duration) {
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	rc.durations[route] = max(d, time.Duration(durationDecay*float64(rc.durations[route])))
}

const (
	// streamTimeFraction is the part of the time left within which a stream should
	// end; the rest is a reserve, as the length of the output is only estimated.
	streamTimeFraction = 0.6
	// gapFraction is the part of the route's longest event gap that the mean gap may
	// take; single gaps are much longer than the mean.
	gapFraction = 0.5
)

// maxMeanEventGap returns the longest mean gap between events with which a stream of
// the given number of output tokens ends within the time left; 0 sets no limit.
func (p *proxyRequest) maxMeanEventGap(outputTokens int, timeLeft time.Duration) time.Duration {
	if p.route.Kind != resolver.Streaming || p.engine == nil || outputTokens == 0 {
		return 0
	}
	events := max(outputTokens/max(p.engine.EventTokens, 1), 1)
	limit := time.Duration(streamTimeFraction * float64(timeLeft) / float64(events))
	if p.route.MaxEventGap > 0 {
		limit = min(limit, time.Duration(gapFraction*float64(p.route.MaxEventGap)))
	}
	return limit
}

// outputTokens returns the expected number of output tokens.
func (p *proxyRequest) outputTokens() int {
	outputTokens := p.info.ExpectedOutputTokens
	if outputTokens <= 0 {
		outputTokens = p.info.MaxOutputTokens
	}
	if p.info.MaxOutputTokens > 0 {
		outputTokens = min(outputTokens, p.info.MaxOutputTokens)
	}
	if outputTokens <= 0 && p.engine != nil {
		outputTokens = defaultOutputTokens
	}
	return outputTokens
}

// demand returns the demand with which the request waits for a permit for its next attempt.
func (p *proxyRequest) demand(ctx context.Context, next nextAttempt) Demand {
	outputTokens, timeLeft := p.outputTokens(), p.timeLeft(ctx)
	return Demand{
		Request: placer.Request{
			ID: p.receiver.nextID.Add(1), Service: p.service, PromptTokens: p.info.PromptTokens, OutputTokens: outputTokens,
			Parts: p.info.Parts, Fingerprint: p.fingerprint, MaxMeanEventGap: p.maxMeanEventGap(outputTokens, timeLeft),
			Regions: p.regions, Version: p.versionLimit(), Retry: next.repetition, Excluded: next.excluded,
		},
		// The share of the account was charged with the attempt that may have run.
		Account: p.account, CountsTowardsShare: p.sharingAccount() != "" && !next.mayHaveRun, Priority: p.priority,
		Objective: p.objectiveLeft(next, timeLeft), TimeLeft: timeLeft, Continues: p.remembered,
		FirstWait: next.firstWait, NoWait: next.noWait,
	}
}
