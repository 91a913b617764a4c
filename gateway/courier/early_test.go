package courier_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
)

// earlyTarget starts a target that responds to the header of a request, or after the first
// bytes of its body, and then ends the connection.
func earlyTarget(t *testing.T, readFirst int, response string, end func(*net.TCPConn)) *testTarget {
	t.Helper()
	return startTarget(t, func(_ int64, c net.Conn, r *http.Request) bool {
		_, _ = io.CopyN(io.Discard, r.Body, int64(readFirst))
		_, _ = io.WriteString(c, response)
		end(c.(*net.TCPConn))
		return false
	})
}

// reset ends a connection with a reset after a pause.
func reset(pause time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// upload sends a request with a body of the given size and returns the body of the response.
func upload(t *testing.T, s *testTarget, bytes int) (string, error) {
	t.Helper()
	r := newRequest("1")
	r.Body = make([]byte, bytes)
	return do(t, newClient(t), s, r)
}

// Guards against MIXED of 2026-12-06: a target responded at once to a long upload, without a
// length, and reset the connection while the upload was being written. The part that had
// arrived was taken for the whole response.
func TestResponseThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
	for _, bytes := range []int{100 << 10, 1 << 20, 16 << 20} {
		for _, readFirst := range []int{0, 64 << 10} {
			for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, %d read, reset after %v", bytes, readFirst, pause), func(t *testing.T) {
					for range 20 {
						s := earlyTarget(t, readFirst, response, reset(pause))
						if got, err := upload(t, s, bytes); !errors.Is(err, courier.ErrBroken) {
							t.Fatalf("body %q, error %v, want ErrBroken", got, err)
						}
					}
				})
			}
		}
	}
}

// Guards against early responses that are whole and are taken for broken ones: those with a
// length or chunks, and those whose target ends its side of the connection in order and reads
// on.
func TestWholeResponseDuringTheUploadIsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		end      func(*net.TCPConn)
	}{
		"length": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole", reset(10 * time.Millisecond)},
		"chunks": {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset(10 * time.Millisecond)},
		"closed in order": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				s := earlyTarget(t, 0, c.response, c.end)
				if got, err := upload(t, s, 16<<20); err != nil || got != "whole" {
					t.Fatalf("body %q, error %v", got, err)
				}
			}
		})
	}
}
