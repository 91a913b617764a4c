package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/receiver"
)

// cuttingTarget is a receiver.TargetClient whose target t0 sends the beginning of a response
// and closes the connection. Its other targets send the whole response.
type cuttingTarget struct {
	*courier.Client
	address string
	// first is the target that gets the next request.
	first *atomic.Pointer[cutResponse]
}

// cutResponse is the response of a target; sent is the number of its bytes that the first
// target sends.
type cutResponse struct {
	raw   string
	sent  int
	reset bool
	// runs is the number of requests that got a response.
	runs atomic.Int64
}

func startCuttingTarget(t *testing.T) cuttingTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	client, closeIdle := courier.New()
	t.Cleanup(closeIdle)
	target := cuttingTarget{Client: client, address: l.Addr().String(), first: &atomic.Pointer[cutResponse]{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			target.respond(c)
		}
	}()
	return target
}

func (c cuttingTarget) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	response := c.first.Load()
	if response.runs.Add(1) > 1 {
		_, _ = io.WriteString(conn, response.raw)
		return
	}
	_, _ = io.WriteString(conn, response.raw[:response.sent])
	if response.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (c cuttingTarget) Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error) {
	t.Address = c.address
	return c.Client.Do(ctx, t, r)
}

// Guards against the report "A server stopped in the middle of its answer's head and closed.
// Clients got a 200 with an empty or short body, framed as whole": no caller gets a success
// for a response that is cut anywhere, unless it is the whole one of another target.
func TestCutResponsesAreNotForwardedAsWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nSigned: s\r\n"
	for name, tc := range map[string]struct {
		path, raw string
		// want is the body of the whole response.
		want string
	}{
		"length":              {"/safe/1", ok + "Content-Length: 12\r\n\r\nwhole answer", "whole answer"},
		"length, once":        {"/once/1", ok + "Content-Length: 12\r\n\r\nwhole answer", "whole answer"},
		"chunked":             {"/safe/1", ok + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n07\r\n answer\r\n0\r\n\r\n", "whole answer"},
		"chunked, once":       {"/once/1", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n", "whole answer"},
		"trailers":            {"/safe/1", ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n", "whole"},
		"empty, once":         {"/once/1", ok + "Content-Length: 0\r\n\r\n", ""},
		"status 204":          {"/safe/1", "HTTP/1.1 204 No Content\r\nSigned: s\r\n\r\n", ""},
		"status 204, once":    {"/once/1", "HTTP/1.1 204 No Content\r\nSigned: s\r\n\r\n", ""},
		"informational, once": {"/once/1", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", "ok"},
		"stream, length":      {"/stream/1", ok + "Content-Length: 32\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: bcd\n\n", "id: 1\ndata: a\n\nid: 2\ndata: bcd\n\n"},
		"stream, chunked":     {"/stream/1", ok + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n11\r\nid: 2\ndata: bcd\n\n\r\n0\r\n\r\n", "id: 1\ndata: a\n\nid: 2\ndata: bcd\n\n"},
		"resumable stream":    {"/resume/1", ok + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n11\r\nid: 2\ndata: bcd\n\n\r\n0\r\n\r\n", "id: 1\ndata: a\n\nid: 2\ndata: bcd\n\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				target := startCuttingTarget(t)
				f := newFixture(t, nil, func(o *receiver.Options) { o.TargetClient = target })
				for n := range len(tc.raw) {
					target.first.Store(&cutResponse{raw: tc.raw, sent: n, reset: reset})
					r := f.postDefault(t, tc.path)
					runs := target.first.Load().runs.Load()
					got := fmt.Sprintf("after %q: %d runs, status %d, body %q, error %v", tc.raw[:n], runs, r.status, r.body, r.err)
					switch {
					case tc.path == "/safe/1" || tc.path == "/resume/1" && r.err == nil:
						if runs != 2 || r.status/100 != 2 || r.err != nil || r.body != tc.want {
							t.Errorf("%s; want the response of the other target", got)
						}
					case tc.path == "/once/1" || tc.path == "/stream/1" && r.err == nil:
						if runs != 1 || r.status != http.StatusBadGateway {
							t.Errorf("%s; want 502 and no other run", got)
						}
					case r.body == "" || !strings.HasPrefix(tc.want, r.body) || !strings.HasSuffix(r.body, "\n\n"):
						t.Errorf("%s; want a stream that is broken off after an event", got)
					}
				}
			})
		}
	}
}
