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

// Outcomes of a request. OutcomeUnsent is set by the caller itself if no connection
// was made; the others are stated by the router, and OutcomeUnknown also stands for
// a missing statement.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeUnsent   Outcome = "unsent"
)

// headerOutcome names the header or trailer in which a router states the outcome.
const headerOutcome = "Monsoondeck-Outcome"

// call is one request, which can be sent several times.
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

// chatBody is the body of a chat completion request.
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

// encode creates the body, which contains the directive for the emulated target.
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
		b.Messages = append(b.Messages, chatMessage{"system", distinctWords(c.account.ID, c.kind.PrefixWords)})
	}
	b.Messages = append(b.Messages, chatMessage{"user", distinctWords(c.id, c.kind.PromptWords) + d.String()})
	body, err := json.Marshal(b)
	c.body = body
	return errors.Wrap(err, "encode the request")
}

// distinctWords returns n different words that depend on the seed.
func distinctWords(seed string, n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "%s.%d ", seed, i) // a Builder never fails
	}
	return b.String()
}

// request creates the HTTP request to a router.
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
		return nil, errors.Wrap(err, "create the request")
	}
	// Without GetBody the transport does not retry a request. The oracle would count
	// the second run as a duplicate made by the router.
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

// attemptResult is the result of one attempt to send a call.
type attemptResult struct {
	outcome    Outcome
	status     int
	router     string
	retryAfter time.Duration // from the Retry-After header; 0 if absent
	broken     bool
	err        error
}

// send sends the call to a router. The error of the result is ErrWrong or
// ErrTruncated, or says why the router did not respond.
func (c *call) send(ctx context.Context, l *Loader, router string) attemptResult {
	r, err := c.request(ctx, router)
	if err != nil {
		return attemptResult{outcome: OutcomeUnsent, err: err}
	}
	start := time.Now()
	res, err := l.client.Do(r)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return attemptResult{outcome: OutcomeUnsent, err: err}
		}
		return attemptResult{outcome: OutcomeUnknown, router: router, broken: ctx.Err() == nil, err: err}
	}
	defer func() { _ = res.Body.Close() }()
	retryAfter, _ := time.ParseDuration(res.Header.Get("Retry-After") + "s")
	e := attemptResult{status: res.StatusCode, router: router, retryAfter: retryAfter}
	if res.StatusCode != http.StatusOK {
		// The body of an error response is read only to reuse the connection, so a failed
		// read is ignored.
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
		e.outcome = statedOutcome(res)
		return e
	}
	e.err = c.checkResponse(res, start, l)
	e.outcome = statedOutcome(res)
	switch {
	case errors.Is(e.err, ErrTruncated):
		e.outcome, e.broken = OutcomeUnknown, ctx.Err() == nil && !errors.Is(e.err, ErrAnnounced)
	case e.err == nil && e.outcome != OutcomeComplete:
		e.err = errors.Wrapf(ErrWrong, "%s: a complete response has outcome %q", c.id, e.outcome)
	}
	return e
}

// statedOutcome returns the outcome in the trailers or the headers of a response,
// or OutcomeUnknown if there is none.
func statedOutcome(res *http.Response) Outcome {
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

// checkResponse reads a successful response and verifies that it is the complete
// response to the call.
func (c *call) checkResponse(res *http.Response, start time.Time, l *Loader) error {
	if got := res.Header.Get(wire.HeaderRequestID); got != c.id {
		return errors.Wrapf(ErrWrong, "%s: response has request id %q", c.id, got)
	}
	if c.kind.Stream {
		s := streamChecker{request: c.id, tokens: c.tokens, start: start, first: &l.FirstToken, between: &l.BetweenTokens}
		if !c.account.Latency {
			s.first = &l.backloggedFirstToken
		}
		return s.check(res.Body)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Mark(err, ErrTruncated)
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
		return errors.Wrapf(ErrWrong, "%s: response %.200q", c.id, body)
	}
	return nil
}

// checkService verifies the response of a plain service.
func (c *call) checkService(body []byte) error {
	var a service.Answer
	sum := sha256.Sum256(c.body)
	err := json.Unmarshal(body, &a)
	if err != nil || a.Request != c.id || a.Service != c.kind.Pool || a.Method != c.kind.Method ||
		a.Path != c.kind.Path || a.BodyHash != hex.EncodeToString(sum[:]) {
		return errors.Wrapf(ErrWrong, "%s: response %.200q", c.id, body)
	}
	return nil
}
