package engine

import (
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/wire"
)

// responseWriter writes the response to one request, as server-sent events or as
// one JSON value.
type responseWriter struct {
	response    http.ResponseWriter
	controller  *http.ResponseController
	generation  *generation
	model       string
	stream      bool
	eventPrefix string // start of each event up to the choices
	offset      int    // first token of this response
	sent        int
}

func newResponseWriter(response http.ResponseWriter, model string, g *generation, stream bool, offset int) *responseWriter {
	w := &responseWriter{response: response, controller: http.NewResponseController(response), generation: g, model: model, stream: stream, offset: offset, sent: offset}
	if stream {
		w.eventPrefix = `data: {"id":` + strconv.Quote("chatcmpl-"+g.id) + `,"object":"chat.completion.chunk","created":` +
			strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + strconv.Quote(model)
		response.Header().Set("Content-Type", "text/event-stream")
		response.Header().Set("Cache-Control", "no-cache")
		response.WriteHeader(http.StatusOK)
		_ = w.controller.Flush() // a disconnected client shows in the context of the request
	}
	return w
}

// writeTokens sends the tokens before number n, one event each, if the response is
// streamed.
func (w *responseWriter) writeTokens(n int) {
	if !w.stream || n <= w.sent {
		return
	}
	var b []byte
	for ; w.sent < n; w.sent++ {
		b = append(b, w.eventPrefix...)
		b = append(b, `,"choices":[{"index":0,"delta":{`...)
		if w.sent == 0 {
			b = append(b, `"role":"assistant",`...)
		}
		b = append(b, `"content":`...)
		b = strconv.AppendQuote(b, wire.Token(w.generation.tokenPrefix, w.sent))
		b = append(b, "},\"finish_reason\":null}]}\n\n"...)
	}
	_, _ = w.response.Write(b)
	_ = w.controller.Flush()
}

// completion is the body of a response that is not streamed.
type completion struct {
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

// finish sends the last event, which carries the usage, or the whole response if it
// is not streamed.
func (w *responseWriter) finish(u Usage) {
	if !w.stream {
		wire.WriteJSON(w.response, http.StatusOK, completion{
			ID: "chatcmpl-" + w.generation.id, Object: "chat.completion", Created: time.Now().Unix(), Model: w.model,
			Choices: []choice{{Message: message{Role: "assistant", Content: wire.Answer(w.generation.tokenPrefix, u.CompletionTokens)}, FinishReason: "stop"}},
			Usage:   u,
		})
		return
	}
	b := append([]byte(w.eventPrefix), `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.CompletionTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.TotalTokens), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokensDetails.CachedTokens), 10)
	b = append(b, "}}}\n\ndata: [DONE]\n\n"...)
	_, _ = w.response.Write(b)
	_ = w.controller.Flush()
}
