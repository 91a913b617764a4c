package launcher

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.(*net.TCPConn).CloseWrite() }()
		}
	}()
	return l.Addr().String()
}

// exchange sends a line, unless it is empty, and reports whether a line came back
// before the timeout.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, line string, timeout time.Duration) bool {
	t.Helper()
	if line != "" {
		if _, err := io.WriteString(c, line+"\n"); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	_, err := r.ReadString('\n')
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

// Guards against cuts that let data pass, lose it, or affect other nodes.
func TestCutHoldsBackDataUntilItEnds(t *testing.T) {
	const short, long = 50 * time.Millisecond, 30 * time.Second
	from := node{"router-1", "a"}
	n := newNetwork(0, func(net.Conn) dialler { return dialler{node: from, isDaemon: true} })
	defer n.close()
	address := echo(t)
	dial := func(to node) (net.Conn, *bufio.Reader) {
		relayAddress, err := n.listen(to, address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", relayAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	near, nearLines := dial(node{"router-2", "a"})
	far, farLines := dial(node{"router-3", "b"})
	for name, cut := range map[string]func(bool) error{
		"data centre": func(on bool) error { return n.setDataCentreCut("b", on) },
		"outgoing":    func(on bool) error { return n.setOutgoingCut("router-1", on) },
		"answers":     func(on bool) error { return n.setOutgoingCut("router-3", on) },
	} {
		if !exchange(t, far, farLines, "before", long) {
			t.Fatalf("%s: no response before the cut", name)
		}
		if err := cut(true); err != nil {
			t.Fatal(err)
		}
		if exchange(t, far, farLines, "during", short) {
			t.Errorf("%s: response during the cut", name)
		}
		if name != "outgoing" && !exchange(t, near, nearLines, "near", long) {
			t.Errorf("%s: the cut affects other nodes", name)
		}
		if err := cut(false); err != nil {
			t.Fatal(err)
		}
		if !exchange(t, far, farLines, "", long) {
			t.Errorf("%s: data was lost by the cut", name)
		}
	}
}

// Guards against delays that are not applied between data centres, and against a
// half-close that ends the other direction as well.
func TestDelayAndHalfClosePassThrough(t *testing.T) {
	const delay = 20 * time.Millisecond
	n := newNetwork(delay, func(net.Conn) dialler { return dialler{node: node{"router-1", "a"}, isDaemon: true} })
	defer n.close()
	relayAddress, err := n.listen(node{"router-2", "b"}, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", relayAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	if _, err := io.WriteString(c, "line"); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil || string(b) != "line" || time.Since(start) < 2*delay {
		t.Fatalf("%q after %v: %v", b, time.Since(start), err)
	}
}

// Guards against cuts of the wrong daemon because the dialler was not recognised.
func TestDiallerIsTheOwnerOfTheSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	f := newOwnerFinder()
	defer f.close()
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if got, owned := f.find(accepted, []int{1 << 30, os.Getpid()}); got != os.Getpid() || !owned {
				t.Errorf("dialler %d, owned %v", got, owned)
			}
		})
	}
	group.Wait()
	if got, _ := f.find(accepted, []int{1 << 30, os.Getpid()}); got != os.Getpid() {
		t.Fatalf("dialler %d", got)
	}
	if got, owned := f.find(accepted, []int{1 << 30}); got != 0 || !owned {
		t.Fatalf("dialler %d is no candidate, owned %v", got, owned)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	for { // the kernel may take a moment to close the socket
		if got, owned := f.find(accepted, []int{os.Getpid()}); got == 0 && !owned {
			break
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against delivering a request of a daemon that was killed before the relay
// had found the dialler, which can take seconds on a busy machine. A target that
// began to drain after the kill would get new work.
func TestRelayDropsWhatAKilledDaemonSent(t *testing.T) {
	n := newNetwork(0, func(net.Conn) dialler { return dialler{orphaned: true} })
	defer n.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	delivered := make(chan struct{}, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			delivered <- struct{}{}
			_ = c.Close()
		}
	}()
	relayAddress, err := n.listen(node{"desk-1", "a"}, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// The relay may reset the connection before the dialler knows that it is open.
	if c, err := net.Dial("tcp", relayAddress); err == nil {
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n") // fails if the connection was reset
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("the connection was not reset")
		}
	}
	select {
	case <-delivered:
		t.Error("the connection reached the target")
	default:
	}
}
