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

// Errors of an answer.
var (
	// ErrWrong marks an answer that is not the whole answer to its request
	// although it claims to be, or that contains anything else.
	ErrWrong = errors.New("the answer does not belong to the request")
	// ErrCut marks an answer that visibly ends early.
	ErrCut = errors.New("the answer was cut")
	// ErrStated marks a cut that the router announced with an error event.
	ErrStated = errors.New("the router announced the cut")
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

// streamReader checks the events of one answer as they arrive.
type streamReader struct {
	request string // the id the answer must carry
	tokens  int    // the length the answer must have
	start   time.Time
	first   *Histogram
	between *Histogram

	seen     int
	last     time.Time
	finished bool
	usage    int
}

// read reads a stream to its end. Errors: ErrWrong, ErrCut.
func (s *streamReader) read(body io.Reader) error {
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
				if err := s.named(name, data); err != nil {
					return err
				}
			case done:
				return errors.Wrapf(ErrWrong, "%s: event %.200q after [DONE]", s.request, data)
			case string(data) == "[DONE]":
				done = true
			default:
				if err := s.event(data); err != nil {
					return err
				}
			}
			name = ""
		}
		switch {
		case err == io.EOF && done:
			return s.end()
		case err == io.EOF:
			// A clean end of the connection without [DONE] is still visible.
			return errors.Wrap(ErrCut, "no [DONE]")
		case err != nil && done:
			return errors.Wrapf(ErrCut, "after [DONE]: %v", err)
		case err != nil:
			return errors.Mark(err, ErrCut)
		}
	}
}

// named checks an event that the router adds to the stream.
func (s *streamReader) named(name string, data []byte) error {
	var o struct {
		Outcome   Outcome `json:"outcome"`
		RequestID string  `json:"requestId"`
	}
	switch {
	case name == "error":
		return errors.Mark(errors.Wrapf(ErrCut, "error event %.200q", data), ErrStated)
	case name != "outcome" || json.Unmarshal(data, &o) != nil || o.Outcome != OutcomeComplete || o.RequestID != s.request:
		return errors.Wrapf(ErrWrong, "%s: event %s with %.200q", s.request, name, data)
	}
	return nil
}

func (s *streamReader) event(data []byte) error {
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrapf(ErrWrong, "event %q: %v", data, err)
	}
	if len(c.Error) > 0 {
		return errors.Wrapf(ErrCut, "error event %s", c.Error)
	}
	if c.Usage != nil {
		s.usage = c.Usage.CompletionTokens
	}
	for _, x := range c.Choices {
		if x.FinishReason != "" {
			s.finished = true
		}
		if err := s.content(x.Delta.Content, time.Now()); err != nil {
			return err
		}
	}
	return nil
}

// content checks the tokens of one event against the next ones of the answer.
func (s *streamReader) content(text string, now time.Time) error {
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

func (s *streamReader) end() error {
	if s.seen != s.tokens || !s.finished || s.usage != s.tokens {
		return errors.Wrapf(ErrWrong, "%s ended with %d of %d tokens, finished %v, usage %d", s.request, s.seen, s.tokens, s.finished, s.usage)
	}
	return nil
}
