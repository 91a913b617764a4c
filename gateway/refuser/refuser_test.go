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

// Load: many more refused callers than the host can serve, each with a whole request. Guards
// against refusals that take the processor time of the requests that could be served: a
// connection whose request has been read is not looked at again until its caller has closed
// it. Also guards against responses that get lost because the rest of the request is unread.
func TestConnectionIsClosedWithTheAnswerToAWholeRequest(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	start := time.Now()
	for name, c := range map[string]struct {
		request  string
		wantOpen int
	}{
		"without a body":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 0},
		"whole body":            {"POST / HTTP/1.1\r\ncontent-length:  4\r\n\r\nbody", 0},
		"part of the body":      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nbody", 1},
		"chunked body":          {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 1},
		"odd length":            {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 1},
		"length of a long body": {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 1},
	} {
		r := New([][]byte{[]byte(testResponse)}, 5, func() time.Duration { return time.Since(start) }, nil)
		caller, descriptor := connect(t, listener)
		if _, err := io.WriteString(caller, c.request); err != nil {
			t.Fatal(err)
		}
		waitForData(t, descriptor, len(c.request))
		r.Refuse(descriptor)
		r.mutex.Lock()
		open := len(r.open)
		r.mutex.Unlock()
		if open != c.wantOpen {
			t.Errorf("%s: %d connections are open, want %d", name, open, c.wantOpen)
		}
		if text, err := io.ReadAll(caller); err != nil || string(text) != testResponse {
			t.Errorf("%s: caller read %q, %v", name, text, err)
		}
		_ = caller.Close()
	}
}

// waitForData waits until a number of bytes can be read from a descriptor.
func waitForData(t *testing.T, descriptor, size int) {
	t.Helper()
	buffer := make([]byte, size)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, _, err := unix.Recvfrom(descriptor, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil && n == size {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes did not arrive", size)
		}
	}
}

// Guards against a response that was chosen for a request and is replaced by the usual one.
func TestChosenResponseIsSent(t *testing.T) {
	const chosen = "HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	start := time.Now()
	r := New([][]byte{[]byte(testResponse)}, 5, func() time.Duration { return time.Since(start) + time.Second }, func(received []byte, _ int) ([]byte, bool) {
		if strings.Contains(string(received), "/lost") {
			return []byte(chosen), false
		}
		return nil, false
	})
	for path, want := range map[string]string{"/lost": chosen, "/": testResponse} {
		caller, descriptor := connect(t, listener)
		if _, err := io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r.Refuse(descriptor)
		if got, err := io.ReadAll(caller); err != nil || string(got) != want {
			t.Errorf("%s: %q, %v, want %q", path, got, err, want)
		}
	}
}
