package refuser

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const testResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connect returns a caller's connection and the descriptor of its other side.
func connect(t *testing.T, l *net.TCPListener) (net.Conn, int) {
	t.Helper()
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := accepted.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	descriptor := 0
	if err := raw.Control(func(fd uintptr) { descriptor, err = unix.Dup(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	return caller, descriptor
}

// Load: many more refused callers than the refuser may keep connections, most of which
// send nothing at first. Guards against callers beyond the limit that get no answer, and
// against more open connections than the limit.
func TestCallersBeyondTheLimitGetAnAnswer(t *testing.T) {
	const callers, limit = 60, 5
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	start := time.Now()
	r := New([][]byte{[]byte(testResponse)}, limit, func() time.Duration { return time.Since(start) + time.Second }, nil)
	var all []net.Conn
	for i := range callers {
		caller, descriptor := connect(t, listener)
		if i%3 == 0 {
			if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		r.Refuse(descriptor)
		r.mutex.Lock()
		if len(r.open) > limit {
			t.Errorf("%d connections are open, limit %d", len(r.open), limit)
		}
		r.mutex.Unlock()
		all = append(all, caller)
	}
	for i, c := range all {
		if text, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503 ") {
			t.Errorf("caller %d read %q, %v, want a refusal", i, text, err)
		}
	}
	if n := r.Unanswered(); n > 0 {
		t.Errorf("%d connections were closed without an answer", n)
	}
}
