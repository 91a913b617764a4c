package courier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
)

// cutResponses are whole responses to a request with the ID 2, each with the method of the
// request.
var cutResponses = map[string]struct{ method, raw string }{
	"length":              {http.MethodPost, "HTTP/1.1 200 OK\r\nX-Note: a: b\r\nId: 2\r\nContent-Length: 12\r\n\r\nwhole answer"},
	"length before ID":    {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 2\r\n\r\nwhole answer"},
	"empty":               {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
	"chunked":             {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n07\r\n answer\r\n0\r\n\r\n"},
	"chunked, no body":    {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	"trailers":            {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 2\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n"},
	"status 204":          {http.MethodPost, "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n"},
	"status 304":          {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 2\r\nContent-Length: 12\r\n\r\n"},
	"HEAD":                {http.MethodHead, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 12\r\n\r\n"},
	"after informational": {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nId: 2\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"},
	"after another one":   {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"},
	"bare line feeds":     {http.MethodPost, "HTTP/1.1 200 OK\nId: 2\nContent-Length: 2\n\nok"},
	"folded field":        {http.MethodPost, "HTTP/1.1 200 OK\r\nId: 2\r\nX-Note: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
	"no length, head":     {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: 2\r\n\r\n"},
}

// Guards against the report "A server stopped in the middle of its answer's head and closed.
// Clients got a 200 with an empty or short body, framed as whole": a response that is cut
// anywhere is an error, and the error says that the connection broke.
func TestCutResponsesAreErrors(t *testing.T) {
	for name, whole := range cutResponses {
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reused %t, reset %t", name, reused, reset), func(t *testing.T) {
					t.Parallel()
					for n := range len(whole.raw) {
						checkCutResponse(t, whole.method, whole.raw[:n], reused, reset)
					}
				})
			}
		}
	}
}

// checkCutResponse sends a request to a target that responds with the bytes and closes the
// connection.
func checkCutResponse(t *testing.T, method, raw string, reused, reset bool) {
	t.Helper()
	s := startTarget(t, func(n int64, c net.Conn, r *http.Request) bool {
		if reused && n == 1 {
			writeResponse(c, r.Header.Get("Id"), "first")
			return true
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, r.ContentLength))
		_, _ = io.WriteString(c, raw)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	c := newClient(t)
	if reused {
		if got, err := do(t, c, s, newRequest("1")); got != "first" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	r := newRequest("2")
	if r.Method = method; method != http.MethodPost {
		r.Body = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := c.Do(ctx, courier.Target{ID: "t", Address: s.address}, r)
	var body string
	if err == nil {
		body, err = readBody(t, response)
	}
	if !errors.Is(err, courier.ErrBroken) {
		t.Errorf("after %q: body %q, error %v, want ErrBroken", raw, body, err)
	}
	if reused && c.Stats.Reuses.Load() != 1 {
		t.Fatal("the connection was not reused")
	}
}

// Guards against a test of cut responses that passes because the whole ones are errors, too.
func TestWholeResponsesAreNoErrors(t *testing.T) {
	for name, whole := range cutResponses {
		s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, whole.raw)
			return false
		})
		r := newRequest("2")
		if r.Method = whole.method; whole.method != http.MethodPost {
			r.Body = nil
		}
		if got, err := do(t, newClient(t), s, r); err != nil {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}
