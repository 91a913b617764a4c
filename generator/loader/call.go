package loader

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/service"
	"monsoondeck.example/emulator/wire"
)

// Outcome is what the caller was told about a request.
type Outcome string

// Outcomes. Unsent is the caller's own finding that no connection was made.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeUnsent   Outcome = "unsent"
)

const headerOutcome = "Monsoondeck-Outcome"

// call is one request that can be sent several times.
type call struct {
	account   *Account
	kind      Kind
	id        string
	key       string
	tokens    int
	duration  time.Duration
	maxTokens int
	deadline  time.Duration
	body      []byte
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// encode prepares the body.
func (c *call) encode() error {
	d := wire.Directive{Request: c.id, Tokens: c.tokens, Duration: c.duration}
	if c.kind.Service {
		if c.kind.Method != http.MethodGet {
			c.body = []byte("order of " + c.account.ID + " " + d.String())
		}
		return nil
	}
	b := chatBody{Model: c.kind.Pool, Stream: c.kind.Stream, MaxTokens: c.maxTokens}
	if c.kind.PrefixWords > 0 {
		b.Messages = append(b.Messages, chatMessage{"system", words(c.account.ID, c.kind.PrefixWords)})
	}
	b.Messages = append(b.Messages, chatMessage{"user", words(c.id, c.kind.PromptWords) + d.String()})
	body, err := json.Marshal(b)
	c.body = body
	return errors.Wrap(err, "encode the request")
}

func words(seed string, n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "%s.%d ", seed, i) // a Builder never fails
	}
	return b.String()
}

func (c *call) request(ctx context.Context, router string) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	if c.kind.Service {
		method, path = c.kind.Method, "/services/"+c.kind.Pool+c.kind.Path
		if method == http.MethodGet {
			path += "?" + wire.Directive{Request: c.id, Duration: c.duration}.String()
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	// Without GetBody the transport does not send a request twice by itself,
	// which the oracle would count as a duplicate of the router.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.account.Key)
	r.Header.Set(wire.HeaderRequestID, c.id)
	r.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	if c.deadline > 0 {
		r.Header.Set("Monsoondeck-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	}
	return r, nil
}

// end is the end of one attempt.
type end struct {
	outcome Outcome
	status  int
	router  string
	retry   time.Duration // as the router asked for
	broken  bool
	err     error
}

// send sends the call to a router. The error of the end is ErrWrong or ErrCut,
// or says why the router did not answer.
func (c *call) send(ctx context.Context, l *Loader, router string) end {
	r, err := c.request(ctx, router)
	if err != nil {
		return end{outcome: OutcomeUnsent, err: err}
	}
	start := time.Now()
	res, err := l.client.Do(r)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return end{outcome: OutcomeUnsent, err: err}
		}
		return end{outcome: OutcomeUnknown, router: router, broken: ctx.Err() == nil, err: err}
	}
	defer func() { _ = res.Body.Close() }()
	retry, _ := time.ParseDuration(res.Header.Get("Retry-After") + "s")
	e := end{status: res.StatusCode, router: router, retry: retry}
	if res.StatusCode != http.StatusOK {
		// The rest of an error answer decides nothing.
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
		e.outcome = stated(res)
		return e
	}
	e.err = c.check(res, start, l)
	e.outcome = stated(res)
	switch {
	case errors.Is(e.err, ErrCut):
		e.outcome, e.broken = OutcomeUnknown, ctx.Err() == nil && !errors.Is(e.err, ErrStated)
	case e.err == nil && e.outcome != OutcomeComplete:
		e.err = errors.Wrapf(ErrWrong, "%s: a whole answer has outcome %q", c.id, e.outcome)
	}
	return e
}

// stated returns the outcome in the headers or the trailers of an answer.
func stated(res *http.Response) Outcome {
	o := res.Trailer.Get(headerOutcome)
	if o == "" {
		o = res.Header.Get(headerOutcome)
	}
	switch Outcome(o) {
	case OutcomeComplete:
		return OutcomeComplete
	case OutcomeNotRun:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// check reads an answer and verifies that it is the whole answer to the call.
func (c *call) check(res *http.Response, start time.Time, l *Loader) error {
	if got := res.Header.Get(wire.HeaderRequestID); got != c.id {
		return errors.Wrapf(ErrWrong, "%s: answer has request id %q", c.id, got)
	}
	if c.kind.Stream {
		s := streamReader{request: c.id, tokens: c.tokens, start: start, first: &l.FirstToken, between: &l.BetweenTokens}
		if !c.account.Latency {
			s.first = &l.queuedFirstToken
		}
		return s.read(res.Body)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Mark(err, ErrCut)
	}
	if c.kind.Service {
		return c.checkService(body)
	}
	var a struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Message.Content != wire.Answer(c.id, c.tokens) {
		return errors.Wrapf(ErrWrong, "%s: answer %.200q", c.id, body)
	}
	return nil
}

func (c *call) checkService(body []byte) error {
	var a service.Answer
	sum := sha256.Sum256(c.body)
	err := json.Unmarshal(body, &a)
	if err != nil || a.Request != c.id || a.Service != c.kind.Pool || a.Method != c.kind.Method ||
		a.Path != c.kind.Path || a.BodyHash != hex.EncodeToString(sum[:]) {
		return errors.Wrapf(ErrWrong, "%s: answer %.200q", c.id, body)
	}
	return nil
}
