package courier_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/courier"
)

const (
	// slowBodyBytes is more than the receive window of a target that does not read.
	slowBodyBytes = 8 << 20
	// slowTargetPause is longer than a connection outlives a silent path.
	slowTargetPause = 2 * time.Second
	// silenceBound is a bound on noticing a silent path. Without a timeout of the
	// connection it takes minutes.
	silenceBound = 5 * time.Second
)

// acceptTwo returns the address of a listener and its first two connections.
func acceptTwo(t *testing.T) (string, <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan *net.TCPConn, 2)
	go func() {
		for range cap(accepted) {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

// doAsync sends a request with a body of slowBodyBytes.
func doAsync(client *courier.Client, address string) <-chan error {
	request := newRequest("1")
	request.Body, request.NonRepeatable = make([]byte, slowBodyBytes), true
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		response, err := client.Do(ctx, courier.Target{ID: "t", Address: address}, request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			err = errors.Join(err, response.Body.Close())
		}
		ended <- err
	}()
	return ended
}

// Guards against a request that is broken off because its target reads the body slowly:
// the kernel counts the time of a closed receive window as silence of the path. It also
// guards against another request on the connection, for which this time may still count.
func TestSlowlyReadBodyArrives(t *testing.T) {
	t.Parallel()
	address, accepted := acceptTwo(t)
	client := newClient(t)
	ended := doAsync(client, address)
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	start := time.Now()
	select {
	case err := <-ended:
		t.Fatalf("the request ended after %v, before the target read: %v", time.Since(start), err)
	case <-time.After(slowTargetPause):
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, r.Body); n != slowBodyBytes || err != nil {
		t.Errorf("%d bytes of the body arrived, error %v", n, err)
	}
	writeResponse(conn, "1", "whole")
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if n := client.Stats.Dials.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
	go func() {
		c := <-accepted
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			writeResponse(c, "1", "whole") // do reports a failure
		}
	}()
	if _, err := do(t, client, &testTarget{address: address}, newRequest("1")); err != nil {
		t.Errorf("the request after it: %v", err)
	}
	if n := client.Stats.Reuses.Load(); n != 0 {
		t.Error("the connection of which the timeout was extended was used again")
	}
}

// dropPackets makes the kernel drop all packets that arrive for the connection.
func dropPackets(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that waits for a host that has been cut off, while the body is
// written, after the target stopped reading, after it began again, and while the response
// is awaited.
func TestSilentPathBreaksTheRequest(t *testing.T) {
	for name, prepare := range map[string]func(*testing.T, *net.TCPConn){
		"body on its way": func(t *testing.T, c *net.TCPConn) {
			if _, err := io.CopyN(io.Discard, c, 1<<10); err != nil {
				t.Error(err)
			}
		},
		"target does not read": func(*testing.T, *net.TCPConn) { time.Sleep(slowTargetPause) },
		"target reads again": func(t *testing.T, c *net.TCPConn) {
			time.Sleep(slowTargetPause)
			if _, err := io.CopyN(io.Discard, c, slowBodyBytes/2); err != nil {
				t.Error(err)
			}
		},
		"response awaited": func(t *testing.T, c *net.TCPConn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := acceptTwo(t)
			ended := doAsync(newClient(t), address)
			conn := <-accepted
			defer func() { _ = conn.Close() }()
			prepare(t, conn)
			dropPackets(t, conn)
			if name != "target does not read" {
				go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the test
			}
			start := time.Now()
			select {
			case err := <-ended:
				if !errors.Is(err, courier.ErrBroken) {
					t.Errorf("error %v, want ErrBroken", err)
				}
				t.Logf("noticed after %v", time.Since(start))
			case <-time.After(silenceBound):
				t.Errorf("not noticed within %v", silenceBound)
			}
		})
	}
}
