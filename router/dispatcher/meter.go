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
	// unitsPerPromptToken and unitsPerSecond: design page, section 3.1.
	unitsPerPromptToken = 0.1
	unitsPerSecond      = 50
	// bytesPerToken estimates the tokens of an answer without usage.
	bytesPerToken = 4
)

// meter counts the service that one attempt uses. A timer reports progress
// and cancels the attempt when the target sends nothing for too long.
type meter struct {
	start    time.Time
	engine   bool
	options  Options
	prompt   float64
	progress func(float64)
	cancel   context.CancelCauseFunc

	tokens      atomic.Int64
	bytes       atomic.Int64 // of an answer that is not an event stream
	rejected    atomic.Bool  // the engine answered with an error status
	first, last atomic.Int64 // nanoseconds after start, 0: none
	touched     atomic.Int64 // nanoseconds after start of the last sign of life
	answering   atomic.Bool
	usage       atomic.Pointer[usage]
	// writing is the time of the write to the caller that is in progress, 0: none.
	writing atomic.Int64
	// unblock makes that write fail.
	unblock func()
	// answerBy is Request.AnswerBy.
	answerBy time.Time

	// mutex keeps progress from running after end.
	mutex sync.Mutex
	timer *time.Timer
	ended bool
	spent time.Duration
}

// usage is the engine's own count.
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
	m.progress, m.cancel, m.unblock, m.answerBy = r.Progress, cancel, unblock, r.AnswerBy
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
	limit := m.options.AnswerTimeout
	if m.answering.Load() {
		limit = m.options.StallTimeout
	}
	now := time.Since(m.start)
	if since := m.writing.Load(); since != 0 {
		// The target is not at fault while the caller does not read.
		m.touched.Store(int64(now))
		if now-time.Duration(since) > m.options.WriteTimeout {
			m.unblock()
		}
	} else if now-time.Duration(m.touched.Load()) > limit || m.late() {
		m.cancel(ErrStalled)
	}
	if m.progress != nil {
		m.progress(m.units())
	}
	m.timer.Reset(m.options.ProgressInterval)
}

// late reports whether the target has not begun to answer in the caller's time,
// for example because a network partition swallows the request.
func (m *meter) late() bool {
	return !m.answering.Load() && !m.answerBy.IsZero() && time.Now().After(m.answerBy)
}

func (m *meter) end() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended = true
	m.spent = time.Since(m.start)
	m.timer.Stop()
}

// touch notes a sign of life of the target.
func (m *meter) touch() {
	m.answering.Store(true)
	m.touched.Store(int64(time.Since(m.start)))
}

// beginWrite and endWrite enclose a write to the caller. A write deadline on
// the connection would not do: HTTP/2 resets a stream at its write deadline
// even when nothing is being written.
func (m *meter) beginWrite() { m.writing.Store(max(1, m.touched.Load())) }

func (m *meter) endWrite() { m.writing.Store(0) }

// event notes the arrival of an event at now; tokens is 1 if it carries output.
func (m *meter) event(now time.Duration, tokens int64) {
	m.touched.Store(int64(now))
	if tokens == 0 {
		return
	}
	m.tokens.Add(tokens)
	m.last.Store(int64(now))
	if m.first.Load() == 0 {
		m.first.Store(int64(now))
	}
}

// output notes n bytes of an answer that is not an event stream.
func (m *meter) output(n int) { m.bytes.Add(int64(n)) }

// units returns the service used so far.
func (m *meter) units() float64 {
	if !m.engine {
		spent := m.spent
		if spent == 0 {
			spent = time.Since(m.start)
		}
		return unitsPerSecond * spent.Seconds()
	}
	if u := m.usage.Load(); u != nil {
		return u.CompletionTokens + unitsPerPromptToken*max(0, u.PromptTokens-u.Details.CachedTokens)
	}
	if m.rejected.Load() {
		return 0
	}
	return float64(m.tokens.Load()) + float64(m.bytes.Load())/bytesPerToken + unitsPerPromptToken*m.prompt
}

func (m *meter) firstToken() time.Duration { return time.Duration(m.first.Load()) }

func (m *meter) interval() time.Duration {
	n := m.tokens.Load()
	if n < 2 {
		return 0
	}
	return time.Duration((m.last.Load() - m.first.Load()) / (n - 1))
}

var usageName = []byte(`"usage"`)

// readUsage looks for a usage object in a JSON document of the engine.
func (m *meter) readUsage(document []byte) {
	if !bytes.Contains(document, usageName) {
		return
	}
	var d struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(document, &d) == nil && d.Usage != nil {
		m.usage.Store(d.Usage)
	}
}
