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
	maxBodyBytes     = 8 << 20
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

// Usage is the number of tokens of a chat completion.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails is the number of prompt tokens that were in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// serveChat serves POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, e.responseID(id))
	var c chatRequest
	// The whole body is read before the response begins: a client that is still
	// sending its request may treat an early response as a failure.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	g := e.newGeneration(id, c, r.Header)
	notify, ok := e.admit(g)
	if !ok {
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
		return
	}
	e.respond(w, r, g, notify, c.Stream, 0)
}

// responseID returns the request ID for the response: that of the request, or that
// of another request if the fault ForeignIDs asks for it.
func (e *Engine) responseID(id string) string {
	if !e.faults.TakeForeignID() {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastAdmittedID == "" || e.lastAdmittedID == id {
		return "foreign-" + id
	}
	return e.lastAdmittedID
}

// newGeneration returns the generation for a chat request. The directive in the
// last user message may set its length and the text of its tokens.
func (e *Engine) newGeneration(id string, c chatRequest, h http.Header) *generation {
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
	return &generation{
		execution: oracle.Execution{
			RequestID: id, CallerRequestID: d.Request, IdempotencyKey: h.Get(wire.HeaderIdempotencyKey),
			Target: e.settings.ID, Pool: c.Model, Account: h.Get(wire.HeaderAccount),
		},
		id: id, tokenPrefix: text, prompt: newPrompt(words), totalTokens: total,
		state: oracle.StateRunning,
	}
}

// status returns the progress of a generation for its handler.
func (e *Engine) status(g *generation) (produced int, s oracle.State, u Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u = Usage{PromptTokens: g.prompt.tokens, CompletionTokens: g.produced, TotalTokens: g.prompt.tokens + g.produced}
	u.PromptTokensDetails.CachedTokens = g.prompt.cached
	return g.produced, g.state, u
}

// respond sends the tokens of a generation from an offset on. When the generation
// is aborted, it panics with http.ErrAbortHandler, so that the client sees a broken
// connection and never a truncated response that looks complete.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, g *generation, notify chan struct{}, stream bool, offset int) {
	rw := newResponseWriter(w, g.execution.Pool, g, stream, offset)
	breakAt, willBreak := -1, false
	if stream {
		breakAt, willBreak = e.faults.TakeBreak()
		breakAt += offset
	}
	for {
		select {
		case _, attached := <-notify:
			if !attached {
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			e.removeDisconnected(g, notify, time.Now())
			panic(http.ErrAbortHandler)
		}
		produced, state, usage := e.status(g)
		if willBreak && produced >= breakAt {
			rw.writeTokens(min(produced, breakAt))
			e.removeDisconnected(g, notify, time.Now())
			panic(http.ErrAbortHandler)
		}
		rw.writeTokens(produced)
		switch state {
		case oracle.StateComplete:
			if e.faults.TakeLostAnswer() {
				panic(http.ErrAbortHandler)
			}
			rw.finish(usage)
			return
		case oracle.StateAborted:
			panic(http.ErrAbortHandler)
		case oracle.StateRunning:
		}
	}
}
