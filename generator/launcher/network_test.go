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

// echo serves lines back until its connection ends.
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

// exchange sends a line and reports whether it came back within a time.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, line string, patience time.Duration) bool {
	t.Helper()
	if line != "" {
		if _, err := io.WriteString(c, line+"\n"); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	_, err := r.ReadString('\n')
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

// Guards against cuts that let data pass, lose it for good, or cut others.
func TestCutKeepsDataBackUntilJoined(t *testing.T) {
	const short, long = 50 * time.Millisecond, 30 * time.Second
	from := place{"router-1", "a"}
	n := newNetwork(0, func(net.Conn) dialler { return dialler{place: from, known: true} })
	defer n.close()
	address := echo(t)
	dial := func(to place) (net.Conn, *bufio.Reader) {
		relayed, err := n.listen(to, address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", relayed)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	near, nearLines := dial(place{"router-2", "a"})
	far, farLines := dial(place{"router-3", "b"})
	for name, cut := range map[string]func(bool) error{
		"data centre": func(on bool) error { return n.setCut("b", on) },
		"outgoing":    func(on bool) error { return n.setMuted("router-1", on) },
		"answers":     func(on bool) error { return n.setMuted("router-3", on) },
	} {
		if !exchange(t, far, farLines, "before", long) {
			t.Fatalf("%s: no answer before the cut", name)
		}
		if err := cut(true); err != nil {
			t.Fatal(err)
		}
		if exchange(t, far, farLines, "during", short) {
			t.Errorf("%s: answer during the cut", name)
		}
		if name != "outgoing" && !exchange(t, near, nearLines, "near", long) {
			t.Errorf("%s: the cut reaches others", name)
		}
		if err := cut(false); err != nil {
			t.Fatal(err)
		}
		if !exchange(t, far, farLines, "", long) {
			t.Errorf("%s: data is lost after the cut", name)
		}
	}
}

// Guards against delays that are not applied between data centres, and against
// half closes that cut the other direction.
func TestDelayAndHalfClosePassThrough(t *testing.T) {
	const delay = 20 * time.Millisecond
	n := newNetwork(delay, func(net.Conn) dialler { return dialler{place: place{"router-1", "a"}, known: true} })
	defer n.close()
	relayed, err := n.listen(place{"router-2", "b"}, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", relayed)
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

// Guards against cuts that hit the wrong daemon because the dialler was not
// recognised.
func TestDialerIsTheOwnerOfTheSocket(t *testing.T) {
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
	f := newFinder()
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
		t.Fatalf("dialler %d among others, owned %v", got, owned)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	for { // the process is no longer the owner as soon as the close has been carried out
		if got, owned := f.find(accepted, []int{os.Getpid()}); got == 0 && !owned {
			break
		}
		time.Sleep(time.Millisecond)
	}
}

// Load: a busy machine, on which it takes seconds to find out which daemon has
// dialled. Guards against delivering a request of a daemon that was killed
// meanwhile: a target that began to drain after the kill would get new work.
func TestRelayDropsWhatAKilledDaemonSent(t *testing.T) {
	n := newNetwork(0, func(net.Conn) dialler { return dialler{gone: true} })
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
	relayed, err := n.listen(place{"desk-1", "a"}, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// The relay may reset the connection before the dialler knows that it is open.
	if c, err := net.Dial("tcp", relayed); err == nil {
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n") // fails on a connection that is reset
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("the connection goes on")
		}
	}
	select {
	case <-delivered:
		t.Error("the target was reached")
	default:
	}
}
