package connector

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// countingDialer counts the bytes that are read from its connections.
type countingDialer struct {
	net.Dialer
	taken atomic.Int64
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	return countingConn{c, &d.taken}, err
}

type countingConn struct {
	net.Conn
	taken *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.taken.Add(int64(n))
	return n, err
}

// Guards against a daemon that keeps all bytes of a server that answers at the address of a
// peer and sends them without end.
func TestEndlessResponsesOfAPeerEnd(t *testing.T) {
	const maxTaken = 128 << 10
	for name, response := range map[string]struct{ head, text string }{
		"field":                   {"HTTP/1.1 101 Switching Protocols\r\nField: ", "x"},
		"fields":                  {"HTTP/1.1 101 Switching Protocols\r\n", "F:\r\n"},
		"no line":                 {"", "x"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return // the test has failed
			}
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, response.head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat(response.text, 4096/len(response.text)))
			}
		}()
		dialer := &countingDialer{}
		h, _ := startHub(t, "a", 1, func(o *Options) { o.Dialer = dialer })
		if _, err := h.dial(l.Addr().String(), "b"); err == nil {
			t.Errorf("%s: connected", name)
		}
		if n := dialer.taken.Load(); n > maxTaken {
			t.Errorf("%s: %d bytes were read, at most %d are allowed", name, n, maxTaken)
		}
		_ = l.Close()
	}
}
