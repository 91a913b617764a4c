package receiver

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// defaultPatience is used where neither caller nor route tells a time.
	defaultPatience = 60 * time.Second
	// defaultObjective is used where a route has no objective.
	defaultObjective = time.Second
	// defaultOutput is the number of generated tokens that is expected of an engine
	// where the request tells neither estimate nor maximum.
	defaultOutput = 256
	// defaultBodyBytes bounds bodies until a configuration is known.
	defaultBodyBytes = 4 << 20
	// noConfigRetry is about the time in which a starting daemon reads its
	// configuration.
	noConfigRetry = 500 * time.Millisecond
	// stoppingRetry is short, since other daemons serve.
	stoppingRetry = 50 * time.Millisecond
	// busyRetry is short, since a new connection may reach a host with room.
	busyRetry = 100 * time.Millisecond
	// memoryRetry is about the time in which a body is read and answered.
	memoryRetry = 300 * time.Millisecond
	// bodyTimeout bounds the reading of a body, so that slow callers do not hold
	// memory.
	bodyTimeout = 10 * time.Second
)

// Options are the dependencies of a Receiver.
type Options struct {
	Protocol Protocol
	Waiter   Waiter
	Configs  Configs
	Carrier  Carrier
	Retries  Retries
	Gate     Gate
	Room     Room
	// Left reports whether the caller has closed its connection.
	Left func(r *http.Request) bool
	// Bodies bounds the bytes of bodies in memory.
	Bodies *limiter.Admission
	// Logger gets one record per decision about a request.
	Logger *slog.Logger
	// Observe gets the end of each request.
	Observe func(Observation)
}

// Observation is the end of one request, for metrics.
type Observation struct {
	Route, Outcome string
	// FirstByte is the time to the first byte of the answer and Total that to the
	// end; FirstByte is 0 if there was none.
	FirstByte, Total time.Duration
}

// Receiver is the http.Handler of callers.
type Receiver struct {
	Options
	nextID atomic.Uint64
	// Active counts the requests in progress.
	Active atomic.Int64

	mutex sync.Mutex
	// durations holds the largest recent duration of the answers of each route.
	durations map[string]time.Duration
}

// New returns a Receiver.
func New(o Options) *Receiver {
	return &Receiver{Options: o, durations: map[string]time.Duration{}}
}

// ServeHTTP serves one request.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.Active.Add(1)
	defer v.Active.Add(-1)
	j := &job{receiver: v, writer: w, request: r, control: http.NewResponseController(w), start: time.Now()}
	j.call = v.Protocol.Decode(r)
	since, left, stopping := v.Gate.Stopping()
	if stopping || v.Room.Moving() {
		w.Header().Set("Connection", "close")
	}
	if !j.resolve() {
		return
	}
	if !v.Room.Take(v.Active.Load()) {
		// Reading a body would cost more than the refusal saves.
		w.Header().Set("Connection", "close")
		j.refuse(rejection{status: http.StatusServiceUnavailable, code: "hostBusy", retryAfter: busyRetry})
		return
	}
	if !j.readBody() {
		return
	}
	defer j.release()
	if stopping && j.needs(since) > left {
		j.refuse(rejection{status: http.StatusServiceUnavailable, code: "stopping", retryAfter: stoppingRetry})
		return
	}
	j.serve()
}

// resolve finds route, account and service of the request.
func (j *job) resolve() bool {
	v := j.receiver
	config, ok := v.Configs.Current()
	if !ok {
		j.refuse(rejection{status: http.StatusServiceUnavailable, code: "noConfiguration", retryAfter: noConfigRetry})
		return false
	}
	j.version = config.Version()
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	if j.route, ok = config.Resolve(j.request.Host, path); !ok {
		j.refuse(rejection{status: http.StatusNotFound, code: "noRoute"})
		return false
	}
	j.priority = j.route.Priority
	if config.HasAccounts() && !j.route.Anonymous {
		account, ok := config.AccountByKey(j.call.Key)
		if !ok {
			j.refuse(rejection{status: http.StatusUnauthorized, code: "unknownKey"})
			return false
		}
		j.account = account.Name
		if account.HasPriority {
			j.priority = account.Priority
		}
	}
	j.service = j.route.Destination(rand.Uint64())
	service, _ := config.Service(j.service)
	j.engine = service.Engine
	j.bodyLimit = config.Limits().BodyBytes
	return true
}

// readBody reads the whole body, so that it can be sent to a second target and
// a caller that leaves is noticed.
func (j *job) readBody() bool {
	limit := int64(j.bodyLimit)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	r := j.request
	if r.ContentLength > limit {
		j.refuse(rejection{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge"})
		return false
	}
	expected := r.ContentLength
	if expected < 0 {
		expected = limit / 16 // chunked; most bodies are far below the limit
	}
	release, err := j.receiver.Bodies.Admit(j.account, expected)
	if err != nil {
		j.writer.Header().Set("Connection", "close")
		j.refuse(rejection{status: http.StatusServiceUnavailable, code: "memory", retryAfter: memoryRetry})
		return false
	}
	j.release = release
	if r.ContentLength == 0 {
		return true
	}
	// Servers without deadlines, as in tests, go on without one.
	_ = j.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.ContentLength > 0 {
		j.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(http.MaxBytesReader(j.writer, r.Body, limit))
	}
	_ = j.control.SetReadDeadline(time.Time{})
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		j.refuse(rejection{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge"})
		return false
	}
	// Nobody can read an answer: the caller broke off in the middle of the body.
	j.log(logger.RequestAbandoned, slog.String("error", err.Error()))
	release()
	panic(http.ErrAbortHandler)
}

// lateCallers is the time after the stop signal in which callers cannot know of
// the stop: the balancer still sends new connections.
const lateCallers = 3 * time.Second

// needs returns the time that must be left when a request is accepted during a
// stop. Later callers use connections that were told to close, so that only
// requests are accepted that cannot be cut.
func (j *job) needs(since time.Duration) time.Duration {
	if since > lateCallers {
		return j.patience()
	}
	v := j.receiver
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return max(v.durations[j.route.Name], 2*j.route.Objective)
}

// patience returns the longest time that the request may take.
func (j *job) patience() time.Duration {
	patience := j.call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	return patience
}

// durationDecay lets the largest duration of a route fade with each answer, so
// that it follows the load within some hundred answers.
const durationDecay = 0.995

func (v *Receiver) observeDuration(route string, d time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.durations[route] = max(d, time.Duration(durationDecay*float64(v.durations[route])))
}

const (
	// paceShare is the part of the time that is left in which a stream should end, as
	// the length of its answer is not known exactly.
	paceShare = 0.6
	// gapShare is the part of the objective for a pause that the mean pause may take;
	// single pauses are much longer than the mean.
	gapShare = 0.5
)

// pace returns the longest mean pause between events with which a stream ends
// in time; 0 sets no limit.
func (j *job) pace(output int, left time.Duration) time.Duration {
	if j.route.Kind != resolver.Streaming || j.engine == nil || output == 0 {
		return 0
	}
	events := max(output/max(j.engine.EventTokens, 1), 1)
	limit := time.Duration(paceShare * float64(left) / float64(events))
	if j.route.EventGap > 0 {
		limit = min(limit, time.Duration(gapShare*float64(j.route.EventGap)))
	}
	return limit
}

// demand returns what the request needs.
func (j *job) demand(ctx context.Context) Demand {
	output := j.call.OutputHint
	if output <= 0 {
		output = j.call.MaxOutput
	}
	if j.call.MaxOutput > 0 {
		output = min(output, j.call.MaxOutput)
	}
	if output <= 0 && j.engine != nil {
		output = defaultOutput
	}
	objective := j.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	deadline, _ := ctx.Deadline()
	return Demand{
		Request: placer.Request{
			ID: j.receiver.nextID.Add(1), Service: j.service, Prompt: j.call.Prompt, Output: output,
			Parts: j.call.Parts, Pace: j.pace(output, time.Until(deadline)),
			Retry: j.attempts > 0, Excluded: j.excluded,
		},
		Account: j.account, Shared: j.engine != nil && j.account != "", Priority: j.priority,
		Objective: max(objective-time.Since(j.start), 0), Deadline: time.Until(deadline),
		First: j.waits == 0,
	}
}
