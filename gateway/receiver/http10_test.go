package receiver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"monsoondeck.example/gateway/receiver"
)

// Guards against a part of a response that a caller with HTTP/1.0 takes for the whole, since
// its responses have no chunks and end with the connection.
func TestBrokenResponseResetsTheConnectionOfHTTP10(t *testing.T) {
	stream, large := "id: 1\ndata: a\n\n", strings.Repeat("x", 300<<10)
	for _, tc := range []struct {
		path, version, body string
		broken              bool
		resets              int32
	}{
		{"/stream/1", "1.0", stream, true, 1}, {"/stream/1", "1.1", stream, true, 0}, {"/stream/1", "1.0", stream, false, 0},
		{"/once/1", "1.0", large, true, 1}, {"/once/1", "1.1", large, true, 0}, {"/once/1", "1.0", large, false, 0},
	} {
		t.Run(fmt.Sprintf("%s with HTTP/%s, broken: %t", tc.path, tc.version, tc.broken), func(t *testing.T) {
			var resets atomic.Int32
			f := newFixture(t, []reply{{status: 200, header: signed, body: tc.body, broken: tc.broken}}, func(o *receiver.Options) {
				o.ResetOnClose = func(*http.Request) { resets.Add(1) }
			})
			c, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h.example\r\nKey: k\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", tc.path, tc.version); err != nil {
				t.Fatal(err)
			}
			if response, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(response), "HTTP/1.") {
				t.Fatalf("response %.40q, error %v", response, err)
			}
			if n := resets.Load(); n != tc.resets {
				t.Errorf("%d resets, want %d", n, tc.resets)
			}
		})
	}
}
