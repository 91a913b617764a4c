package session_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Guards against a change that continues without an explicit yes.
func TestConfirm(t *testing.T) {
	for _, tc := range []struct {
		response      string
		terminal, yes bool
		code          int
	}{
		{"yes\n", true, false, 0}, {"no\n", true, false, failure.CodeFailed}, {"\n", true, false, failure.CodeFailed},
		{"", true, false, failure.CodeFailed}, {"y\n", true, false, failure.CodeFailed},
		{"yes\n", false, false, failure.CodeUsage}, {"", false, true, 0},
	} {
		s := &session.Session{InTerminal: tc.terminal, Streams: logger.Streams{In: strings.NewReader(tc.response), Err: &bytes.Buffer{}}}
		err := s.Confirm(t.Context(), "Remove?", tc.yes)
		if code := codeOf(err); code != tc.code {
			t.Errorf("%+v: code %d, error %v", tc, code, err)
		}
	}
}

// Guards against a confirmation prompt that cannot be interrupted.
func TestInterruptEndsThePrompt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	in, _ := io.Pipe()
	s := &session.Session{InTerminal: true, Streams: logger.Streams{In: in, Err: &bytes.Buffer{}}}
	if err := s.Confirm(ctx, "Remove?", false); codeOf(err) != failure.CodeFailed {
		t.Errorf("error %v", err)
	}
}

func codeOf(err error) int {
	if err == nil {
		return 0
	}
	return failure.Of(err).Code
}

// Guards against terminal output that is not a table, and against control characters
// and line breaks that garble the output.
func TestOutputForTerminals(t *testing.T) {
	var out bytes.Buffer
	r := &printer.Records{Fields: []string{"id", "name", "secret"}, Hidden: 1}
	r.Add("a", "x\x1b[2Jy\tz", "s")
	if err := (printer.Printer{Out: &out, Terminal: true}).Print(r, printer.Flags{}); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), "ID  NAME\na   x?[2Jy?z\n"; got != want {
		t.Errorf("printed %q, want %q", got, want)
	}
	if text := failure.Of(errors.New("one\ntwo")).Error(); strings.Count(text, "\n") != 1 {
		t.Errorf("error %q has more than two lines", text)
	}
}
