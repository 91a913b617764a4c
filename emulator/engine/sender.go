package engine

import (
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/wire"
)

// sender writes the answer of one run, as events or as one JSON value.
type sender struct {
	w       http.ResponseWriter
	control *http.ResponseController
	run     *run
	model   string
	stream  bool
	head    string // start of each event
	offset  int    // first token of this answer
	sent    int
}

func newSender(w http.ResponseWriter, model string, a *run, stream bool, offset int) *sender {
	s := &sender{w: w, control: http.NewResponseController(w), run: a, model: model, stream: stream, offset: offset, sent: offset}
	if stream {
		s.head = `data: {"id":` + strconv.Quote("chatcmpl-"+a.id) + `,"object":"chat.completion.chunk","created":` +
			strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + strconv.Quote(model)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
		_ = s.control.Flush() // a client that has gone ends the request context
	}
	return s
}

// tokens sends the tokens up to n, one event each.
func (s *sender) tokens(n int) {
	if !s.stream || n <= s.sent {
		return
	}
	var b []byte
	for ; s.sent < n; s.sent++ {
		b = append(b, s.head...)
		b = append(b, `,"choices":[{"index":0,"delta":{`...)
		if s.sent == 0 {
			b = append(b, `"role":"assistant",`...)
		}
		b = append(b, `"content":`...)
		b = strconv.AppendQuote(b, wire.Token(s.run.text, s.sent))
		b = append(b, "},\"finish_reason\":null}]}\n\n"...)
	}
	_, _ = s.w.Write(b)
	_ = s.control.Flush()
}

// answerBody is the body of an answer that is not streamed.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// end sends the last event, which carries the usage, or the whole answer.
func (s *sender) end(u Usage) {
	if !s.stream {
		wire.WriteJSON(s.w, http.StatusOK, answerBody{
			ID: "chatcmpl-" + s.run.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.model,
			Choices: []choice{{Message: message{Role: "assistant", Content: wire.Answer(s.run.text, u.CompletionTokens)}, FinishReason: "stop"}},
			Usage:   u,
		})
		return
	}
	b := append([]byte(s.head), `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.CompletionTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.TotalTokens), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokensDetails.CachedTokens), 10)
	b = append(b, "}}}\n\ndata: [DONE]\n\n"...)
	_, _ = s.w.Write(b)
	_ = s.control.Flush()
}
