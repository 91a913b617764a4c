package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unitsPerPromptToken and unitsPerSecond follow section 3.1 of the design page.
	unitsPerPromptToken = 0.1
	unitsPerSecond      = 50
	// bytesPerToken estimates the tokens of a response without a usage object.
	bytesPerToken = 4
)

// meter measures the units that one attempt uses. A timer reports progress and cancels
// the attempt if the target sends nothing for too long.
type meter struct {
	start    time.Time
	engine   bool
	options  Options
	prompt   float64
	progress func(float64)
	cancel   context.CancelCauseFunc

	tokens                    atomic.Int64
	bytes                     atomic.Int64 // of a response that is not an event stream
	rejected                  atomic.Bool  // the engine responded with an error status
	firstTokenAt, lastTokenAt atomic.Int64 // nanoseconds after start; 0 without tokens
	lastActivity              atomic.Int64 // nanoseconds from start until the target last sent something
	responding                atomic.Bool
	usage                     atomic.Pointer[usage]
	// writeStarted is when the write to the caller that is in progress began, in
	// nanoseconds after start; 0 if there is none.
	writeStarted atomic.Int64
	// unblock makes the write to the caller fail.
	unblock func()
	// responseDeadline is Request.ResponseDeadline.
	responseDeadline time.Time

	// mutex keeps progress from running after end.
	mutex   sync.Mutex
	timer   *time.Timer
	ended   bool
	elapsed time.Duration
}

// usage is the token count that the engine reports.
type usage struct {
	PromptTokens     float64 `json:"prompt_tokens"`
	CompletionTokens float64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens float64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (m *meter) begin(o Options, r *Request, cancel context.CancelCauseFunc, unblock func()) {
	m.start = time.Now()
	m.engine, m.options, m.prompt = r.Target.Engine, o, r.PromptTokens
	m.progress, m.cancel, m.unblock, m.responseDeadline = r.Progress, cancel, unblock, r.ResponseDeadline
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.timer = time.AfterFunc(o.ProgressInterval, m.tick)
}

func (m *meter) tick() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.ended {
		return
	}
	limit := m.options.ResponseTimeout
	if m.responding.Load() {
		limit = m.options.StallTimeout
	}
	now := time.Since(m.start)
	if since := m.writeStarted.Load(); since != 0 {
		// The target is not at fault while the caller does not read.
		m.lastActivity.Store(int64(now))
		if now-time.Duration(since) > m.options.WriteTimeout {
			m.unblock()
		}
	} else if now-time.Duration(m.lastActivity.Load()) > limit || m.pastResponseDeadline() {
		m.cancel(ErrStalled)
	}
	if m.progress != nil {
		m.progress(m.units())
	}
	m.timer.Reset(m.options.ProgressInterval)
}

// pastResponseDeadline reports whether the target has not begun to respond by
// responseDeadline, for example because a network partition swallows the request.
func (m *meter) pastResponseDeadline() bool {
	return !m.responding.Load() && !m.responseDeadline.IsZero() && time.Now().After(m.responseDeadline)
}

func (m *meter) end() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended = true
	m.elapsed = time.Since(m.start)
	m.timer.Stop()
}

// recordActivity records that the target has sent something.
func (m *meter) recordActivity() {
	m.responding.Store(true)
	m.lastActivity.Store(int64(time.Since(m.start)))
}

// beginWrite and endWrite enclose a write to the caller. A write deadline on the
// connection is no substitute, because HTTP/2 resets a stream at its write deadline
// even when nothing is being written.
func (m *meter) beginWrite() { m.writeStarted.Store(max(1, m.lastActivity.Load())) }

func (m *meter) endWrite() { m.writeStarted.Store(0) }

// recordEvent records the arrival of an event at now, a time since start; tokens is 1
// if the event carries output.
func (m *meter) recordEvent(now time.Duration, tokens int64) {
	m.lastActivity.Store(int64(now))
	if tokens == 0 {
		return
	}
	m.tokens.Add(tokens)
	m.lastTokenAt.Store(int64(now))
	if m.firstTokenAt.Load() == 0 {
		m.firstTokenAt.Store(int64(now))
	}
}

// recordBytes records n bytes of a response that is not an event stream.
func (m *meter) recordBytes(n int) { m.bytes.Add(int64(n)) }

// units returns the units used so far.
func (m *meter) units() float64 {
	if !m.engine {
		elapsed := m.elapsed
		if elapsed == 0 {
			elapsed = time.Since(m.start)
		}
		return unitsPerSecond * elapsed.Seconds()
	}
	if u := m.usage.Load(); u != nil {
		return u.CompletionTokens + unitsPerPromptToken*max(0, u.PromptTokens-u.Details.CachedTokens)
	}
	if m.rejected.Load() {
		return 0
	}
	return float64(m.tokens.Load()) + float64(m.bytes.Load())/bytesPerToken + unitsPerPromptToken*m.prompt
}

func (m *meter) firstToken() time.Duration { return time.Duration(m.firstTokenAt.Load()) }

func (m *meter) interval() time.Duration {
	n := m.tokens.Load()
	if n < 2 {
		return 0
	}
	return time.Duration((m.lastTokenAt.Load() - m.firstTokenAt.Load()) / (n - 1))
}

var usageField = []byte(`"usage"`)

// readUsage stores the usage object of a JSON document of the engine, if it has one.
func (m *meter) readUsage(document []byte) {
	if !bytes.Contains(document, usageField) {
		return
	}
	var d struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(document, &d) == nil && d.Usage != nil {
		m.usage.Store(d.Usage)
	}
}
