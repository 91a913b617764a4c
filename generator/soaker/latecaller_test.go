package soaker

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
)

// Guards against blame for a request that a daemon had not read when it closed the
// connection, and against a request that was read and dropped unnoticed.
func TestLateCallerTellsWhatWasRead(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(net.Conn)
		status int
		read   bool
	}{
		"closed after the request": {func(c net.Conn) { readRequest(t, c) }, 0, true},
		"closed in the request":    {func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, 0, false},
		"closed before it":         {func(net.Conn) {}, 0, false},
		"half a head":              {func(c net.Conn) { readRequest(t, c); _, _ = io.WriteString(c, "HTTP/1.1 2") }, 0, true},
		"half a body": {func(c net.Conn) {
			readRequest(t, c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
		}, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				c.handle(connection)
				_ = connection.Close()
			}()
			all := &callers{}
			l := &lateCaller{callers: all, daemon: &daemon{callerAddress: listener.Addr().String()}, random: rand.New(rand.NewPCG(1, 1)), name: "late"}
			l.send()
			if x := all.results[0]; x.err == nil || x.status != c.status || x.read != c.read || l.connection != nil {
				t.Errorf("status %d, read %t, %v", x.status, x.read, x.err)
			}
		})
	}
}

// readRequest reads a whole request.
func readRequest(t *testing.T, c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		t.Error(err)
	}
}
