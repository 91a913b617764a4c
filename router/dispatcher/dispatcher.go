package dispatcher

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Options.
const (
	defaultDialTimeout     = time.Second
	defaultResponseTimeout = 5 * time.Minute
	defaultStallTimeout    = time.Minute
	defaultWriteTimeout    = 30 * time.Second
	defaultProgress        = 500 * time.Millisecond
	defaultIdle            = 64
	defaultResumes         = 3
	// transportBuffer, in bytes, is below the default of 4 KB, because each open
	// stream holds two buffers. Most requests and events are smaller.
	transportBuffer = 2 << 10
	// maxHeadBytes bounds the header of a response. The default of 10 MB would let a few
	// targets that send headers without end use up the memory.
	maxHeadBytes = 64 << 10
	// captureLimit, in bytes, bounds the responses kept in memory, including those
	// stored with idempotency keys.
	captureLimit = 64 << 10
)

// Options configures a Dispatcher. Zero values select defaults.
type Options struct {
	// Incarnation identifies this run of the daemon in request ids.
	Incarnation uint64
	DialTimeout time.Duration
	// ResponseTimeout bounds the wait for the first byte of a response.
	ResponseTimeout time.Duration
	// StallTimeout bounds the wait between two reads of a response.
	StallTimeout time.Duration
	// WriteTimeout bounds one write to the caller.
	WriteTimeout time.Duration
	// ProgressInterval is the time between two calls of Request.Progress.
	ProgressInterval time.Duration
	// IdlePerTarget bounds the pooled connections to one target.
	IdlePerTarget int
	// Resumes bounds the attempts to resume one broken stream; a negative value
	// disables resuming.
	Resumes int
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	options  Options
	prefix   string
	sequence atomic.Uint64
	// pooled sends repeatable requests over reused connections.
	pooled *http.Transport
	// singleUse opens one connection per request and never resends a request.
	singleUse *http.Transport
	stats     counters
}

type counters struct{ mismatched, resumed, incompleteResponses atomic.Uint64 }

// Stats holds totals since New.
type Stats struct {
	// MismatchedResponses counts responses dropped because they carried another request id.
	MismatchedResponses uint64
	// Resumed counts the times that a broken stream was resumed.
	Resumed uint64
	// IncompleteResponses counts responses that did not arrive whole.
	IncompleteResponses uint64
}

// New returns a Dispatcher and a function that closes its idle connections.
func New(o Options) (*Dispatcher, func()) {
	o = o.withDefaults()
	d := &Dispatcher{options: o, prefix: strconv.FormatUint(o.Incarnation, 16) + "-"}
	d.pooled = d.transport(false)
	d.singleUse = d.transport(true)
	return d, func() { d.pooled.CloseIdleConnections(); d.singleUse.CloseIdleConnections() }
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ResponseTimeout, defaultResponseTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.ProgressInterval, defaultProgress)
	setDefault(&o.IdlePerTarget, defaultIdle)
	setDefault(&o.Resumes, defaultResumes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats returns the totals so far.
func (d *Dispatcher) Stats() Stats {
	return Stats{
		MismatchedResponses: d.stats.mismatched.Load(),
		Resumed:             d.stats.resumed.Load(),
		IncompleteResponses: d.stats.incompleteResponses.Load(),
	}
}

func (d *Dispatcher) transport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: d.options.DialTimeout}
	dial := dialer.DialContext
	if fresh {
		dial = checkedDial(dial)
	}
	return &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.options.IdlePerTarget,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// beforeSendKey is the context key of the check that checkedDial runs.
type beforeSendKey struct{}

// checkedDial wraps dial so that the check of the request runs after its connection
// has opened. No byte has been sent then, so the outcome of a failed check is NotRun.
func checkedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		check, ok := ctx.Value(beforeSendKey{}).(func() error)
		if !ok {
			return c, nil
		}
		if err := check(); err != nil {
			return nil, errors.CombineErrors(err, c.Close())
		}
		return c, nil
	}
}
