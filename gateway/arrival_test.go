package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a kernel that does not tell how long a request has waited before it was read,
// in the accept queue or on a kept connection.
func TestKernelTellsHowLongARequestWasUnread(t *testing.T) {
	const (
		unread = 300 * time.Millisecond
		tick   = 20 * time.Millisecond // two ticks of the kernel's clock
	)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ages, release := make(chan time.Duration), make(chan struct{})
	server := &http.Server{ConnContext: withConnection, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ages <- time.Since(arrived(r))
		<-release
	})}
	defer func() { _ = server.Close() }()
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	reader := bufio.NewReader(caller)
	var sent time.Time
	send := func() {
		t.Helper()
		sent = time.Now()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	respond := func() {
		t.Helper()
		release <- struct{}{}
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close() // never returns an error
	}
	wantAge := func(where string, least time.Duration) {
		t.Helper()
		age := <-ages
		if most := time.Since(sent); age < least-tick || age > most+tick {
			t.Errorf("%s: the kernel counts %v, want %v to %v", where, age, least, most)
		}
	}
	send()
	time.Sleep(unread)
	go func() { _ = server.Serve(l) }()
	wantAge("in the accept queue", unread)
	send()
	time.Sleep(unread)
	respond()
	wantAge("on a kept connection behind another request", unread)
	respond()
	time.Sleep(unread)
	send()
	wantAge("on an idle connection", 0)
	respond()
}
