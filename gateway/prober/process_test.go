package prober_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"monsoondeck.example/gateway/courier"
)

// childVariable makes the test program a target that answers on hijacked connections.
const childVariable = "PROBER_TEST_TARGET"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(2)
	}
	fmt.Println(l.Addr())
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			w.Header().Set("Instance", "i-1")
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		select {} // keeps the connection from being collected and closed
	}))
}

// startProcess starts a target in a process of its own and opens responses to it that do
// not end.
func startProcess(t *testing.T, responses int) (*exec.Cmd, courier.Target, []net.Conn) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"=1")
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	line := bufio.NewScanner(out)
	if !line.Scan() {
		t.Fatal("the target does not start")
	}
	target := courier.Target{ID: "i-1", Address: line.Text()}
	connections := make([]net.Conn, responses)
	for i := range connections {
		conn, err := net.Dial("tcp4", target.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		connections[i] = conn
	}
	return c, target, connections
}

// Guards against a killed process that counts as running because its listener is closed
// after the connections on which it had sent responses.
func TestKilledProcessIsGone(t *testing.T) {
	const rounds, responses = 5, 300
	bareAccepted := 0
	for range rounds {
		process, target, connections := startProcess(t, responses)
		p, c := newProber(t, longTimeout)
		if p.Gone(context.Background(), target, healthPath) {
			t.Fatal("the target counts as gone before it is killed")
		}
		var group sync.WaitGroup
		var running, accepted atomic.Int64
		for _, conn := range connections {
			group.Go(func() {
				_, _ = io.Copy(io.Discard, conn) // until the kernel closes the connection
				if err := c.Probe(context.Background(), target); !errors.Is(err, courier.ErrRefused) {
					accepted.Add(1)
				}
				if !p.Gone(context.Background(), target, healthPath) {
					running.Add(1)
				}
			})
		}
		_ = process.Process.Kill()
		group.Wait()
		bareAccepted += int(accepted.Load())
		if n := running.Load(); n > 0 {
			t.Errorf("the target counts as running for %d of %d responses", n, responses)
		}
	}
	t.Logf("%d of %d bare connection attempts after the end of a response were not refused", bareAccepted, rounds*responses)
}
