package loader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/wire"
)

// Errors of a response.
var (
	// ErrWrong marks a response that claims to be the complete response to its
	// request but is not, or that contains anything else.
	ErrWrong = errors.New("the response does not belong to the request")
	// ErrTruncated marks a response that ends early in a way that callers can detect.
	ErrTruncated = errors.New("the response was truncated")
	// ErrAnnounced marks a truncation that the router announced by an error event.
	ErrAnnounced = errors.New("the router announced the truncation")
)

// streamChunk holds the fields of an event that a caller reads.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// streamChecker checks the events of one streamed response as they arrive.
type streamChecker struct {
	request string // id that the response must carry
	tokens  int    // length that the response must have
	start   time.Time
	first   *Histogram // receives the time from start to the first token
	between *Histogram // receives the times between tokens

	seen     int // tokens so far
	last     time.Time
	finished bool
	usage    int // tokens according to the usage field
}

// check reads a stream to its end. Errors: ErrWrong, ErrTruncated.
func (s *streamChecker) check(body io.Reader) error {
	r := bufio.NewReader(body)
	done, name := false, ""
	for {
		line, err := r.ReadBytes('\n')
		line = bytes.TrimRight(line, "\r\n")
		if field, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			name = string(field)
		}
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			switch {
			case name != "":
				if err := s.checkRouterEvent(name, data); err != nil {
					return err
				}
			case done:
				return errors.Wrapf(ErrWrong, "%s: event %.200q after [DONE]", s.request, data)
			case string(data) == "[DONE]":
				done = true
			default:
				if err := s.checkChunk(data); err != nil {
					return err
				}
			}
			name = ""
		}
		switch {
		case err == io.EOF && done:
			return s.checkEnd()
		case err == io.EOF:
			// A clean end of the connection without [DONE] is a truncation as well.
			return errors.Wrap(ErrTruncated, "no [DONE]")
		case err != nil && done:
			return errors.Wrapf(ErrTruncated, "after [DONE]: %v", err)
		case err != nil:
			return errors.Mark(err, ErrTruncated)
		}
	}
}

// checkRouterEvent checks a named event, which the router adds to the stream.
func (s *streamChecker) checkRouterEvent(name string, data []byte) error {
	var o struct {
		Outcome   Outcome `json:"outcome"`
		RequestID string  `json:"requestId"`
	}
	switch {
	case name == "error":
		return errors.Mark(errors.Wrapf(ErrTruncated, "error event %.200q", data), ErrAnnounced)
	case name != "outcome" || json.Unmarshal(data, &o) != nil || o.Outcome != OutcomeComplete || o.RequestID != s.request:
		return errors.Wrapf(ErrWrong, "%s: event %s with %.200q", s.request, name, data)
	}
	return nil
}

// checkChunk checks an unnamed event, which comes from the target.
func (s *streamChecker) checkChunk(data []byte) error {
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrapf(ErrWrong, "event %q: %v", data, err)
	}
	if len(c.Error) > 0 {
		return errors.Wrapf(ErrTruncated, "error event %s", c.Error)
	}
	if c.Usage != nil {
		s.usage = c.Usage.CompletionTokens
	}
	for _, x := range c.Choices {
		if x.FinishReason != "" {
			s.finished = true
		}
		if err := s.checkContent(x.Delta.Content, time.Now()); err != nil {
			return err
		}
	}
	return nil
}

// checkContent checks the tokens of one event against the next expected ones.
func (s *streamChecker) checkContent(text string, now time.Time) error {
	for text != "" {
		want := wire.Token(s.request, s.seen)
		rest, ok := strings.CutPrefix(text, want)
		if !ok || s.seen >= s.tokens {
			return errors.Wrapf(ErrWrong, "token %d of %d of %s is %q", s.seen, s.tokens, s.request, text)
		}
		if s.seen == 0 {
			s.first.Add(now.Sub(s.start))
		} else {
			s.between.Add(now.Sub(s.last))
		}
		s.seen++
		s.last, text = now, rest
	}
	return nil
}

// checkEnd checks that the stream had all tokens, a finish reason and the usage.
func (s *streamChecker) checkEnd() error {
	if s.seen != s.tokens || !s.finished || s.usage != s.tokens {
		return errors.Wrapf(ErrWrong, "%s ended with %d of %d tokens, finished %v, usage %d", s.request, s.seen, s.tokens, s.finished, s.usage)
	}
	return nil
}
