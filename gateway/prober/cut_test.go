package prober_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"monsoondeck.example/gateway/courier"
)

// Guards against an incomplete response that is taken for a whole one because its target ended
// in the middle of the header of its health check response: that header is cut, not invalid.
func TestTargetThatEndsInsideItsHealthHeaderIsGone(t *testing.T) {
	for _, raw := range []string{"", "HTTP/1", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nInst", "HTTP/1.1 200 OK\r\nInstance: t\r", "HTTP/1.1 200 OK\r\nInstance: t\r\n\r"} {
		l, err := net.Listen("tcp4", reserve(t))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			_ = l.Close()
			if err != nil {
				return // the test has failed
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw)
			}
			_ = c.Close()
		}()
		p, _ := newProber(t, longTimeout)
		if !p.Gone(context.Background(), courier.Target{ID: "t", Address: l.Addr().String()}, healthPath) {
			t.Errorf("cut after %q: the target counts as running", raw)
		}
		_ = l.Close()
	}
}
