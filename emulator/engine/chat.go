package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

const (
	maxBody          = 8 << 20
	defaultMaxTokens = 16
)

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, e.answerID(id))
	var c chatRequest
	// The whole body is read before the answer begins: a sender that still writes
	// when the answer arrives may take that for a failure.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		wire.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if resumed := r.Header.Get(wire.HeaderResumeRequest); resumed != "" {
		e.serveResume(w, r, resumed)
		return
	}
	if !e.serves(c.Model) {
		wire.Refuse(w, http.StatusNotFound, "model", "model "+c.Model+" is not served")
		return
	}
	if e.faults.RefuseAll() {
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
		return
	}
	a := e.newRun(id, c, r.Header)
	notify, ok := e.admit(a)
	if !ok {
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
		return
	}
	e.answer(w, r, a, notify, c.Stream, 0)
}

func (e *Engine) answerID(id string) string {
	if !e.faults.TakeForeignID() {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastID == "" || e.lastID == id {
		return "foreign-" + id
	}
	return e.lastID
}

func (e *Engine) newRun(id string, c chatRequest, h http.Header) *run {
	var words []string
	var d wire.Directive
	for _, m := range c.Messages {
		words = append(words, strings.Fields(m.Content)...)
		if m.Role == "user" {
			d = wire.ParseDirective(m.Content)
		}
	}
	total := c.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	if d.Tokens > 0 && (c.MaxTokens <= 0 || d.Tokens < total) {
		total = d.Tokens
	}
	text := d.Request
	if text == "" {
		text = id
	}
	return &run{
		execution: oracle.Execution{
			RequestID: id, CallerRequestID: d.Request, IdempotencyKey: h.Get(wire.HeaderIdempotencyKey),
			Target: e.settings.ID, Pool: c.Model, Account: h.Get(wire.HeaderAccount),
		},
		id: id, text: text, prompt: newPromptUse(words), total: total,
		state: oracle.StateRunning,
	}
}

// progress returns the state of a run for its handler.
func (e *Engine) progress(a *run) (produced int, s oracle.State, u Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u = Usage{PromptTokens: a.prompt.tokens, CompletionTokens: a.produced, TotalTokens: a.prompt.tokens + a.produced}
	u.PromptTokensDetails.CachedTokens = a.prompt.cached
	return a.produced, a.state, u
}

// answer sends the tokens of a run from an offset on. It panics with
// http.ErrAbortHandler when the answer is cut, so that the client sees a broken
// connection and never a short answer.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, a *run, notify chan struct{}, stream bool, offset int) {
	s := newSender(w, a.execution.Pool, a, stream, offset)
	breakAt, broken := -1, false
	if stream {
		breakAt, broken = e.faults.TakeBreak()
		breakAt += offset
	}
	for {
		select {
		case _, attached := <-notify:
			if !attached {
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			e.remove(a, notify, time.Now())
			panic(http.ErrAbortHandler)
		}
		produced, state, usage := e.progress(a)
		if broken && produced >= breakAt {
			s.tokens(min(produced, breakAt))
			e.remove(a, notify, time.Now())
			panic(http.ErrAbortHandler)
		}
		s.tokens(produced)
		switch state {
		case oracle.StateComplete:
			if e.faults.TakeLostAnswer() {
				panic(http.ErrAbortHandler)
			}
			s.end(usage)
			return
		case oracle.StateCut:
			panic(http.ErrAbortHandler)
		case oracle.StateRunning:
		}
	}
}
