package courier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a target that crashes for its memory because this host writes any number
// of large bodies to it at a time, and against a bound that single bodies, other targets or
// ended bodies run into.
func TestBodiesBeingWrittenToOneTargetAreBounded(t *testing.T) {
	b := sendingBounds{targets: map[Target]*sending{}}
	first, second := Target{ID: "a"}, Target{ID: "b"}
	ctx, cancel := context.WithCancel(context.Background())
	if !b.start(ctx, first, 2*maxSendingBytes) {
		t.Fatal("a single body was not permitted")
	}
	for range 2 {
		if !b.start(ctx, second, maxSendingBytes/2) {
			t.Fatal("a body within the bound was not permitted")
		}
	}
	started := make(chan bool)
	go func() { started <- b.start(ctx, first, 1) }()
	b.end(second, maxSendingBytes/2)
	b.end(first, 2*maxSendingBytes)
	if !<-started {
		t.Error("a body was not permitted after the first one was written")
	}
	if !b.start(ctx, first, maxSendingBytes-1) {
		t.Error("a body within the bound was not permitted")
	}
	cancel()
	if b.start(ctx, first, 1) {
		t.Error("a body beyond the bound was permitted")
	}
	b.end(first, 1)
	b.end(first, maxSendingBytes-1)
	b.end(second, maxSendingBytes/2)
	if len(b.targets) != 0 {
		t.Errorf("counts of %d targets are left", len(b.targets))
	}
}

// Guards against a target that does not read and gets one large body after the other, and
// against a count that is not given back when the exchange ends.
func TestTargetThatDoesNotReadGetsNoFurtherBodies(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c // nobody reads from it
		}
	}()
	c, closeClient := New()
	defer closeClient()
	target := Target{ID: "t", Address: l.Addr().String()}
	request := Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 16*maxSendingBytes), Match: func(int, http.Header) Match { return Own }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, err := c.Do(ctx, target, request)
		ended <- err
	}()
	<-accepted
	if _, err := c.Do(context.Background(), target, request); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("error %v for a second body, want ErrWithdrawn", err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v of the first body", err)
	}
	short := request
	short.Body = make([]byte, maxInlineBodyBytes+1)
	go func() {
		conn := <-accepted
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // Do reports a failure
	}()
	ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := c.Do(ctx, target, short)
	if err != nil {
		t.Fatalf("error %v for a body after the first one has ended", err)
	}
	_ = response.Body.Close()
}

// Guards against a target that makes the process hold megabytes by very many short fields
// within the size of a header.
func TestResponseWithVeryManyFieldsIsInvalid(t *testing.T) {
	for fields, valid := range map[int]bool{maxHeadFields - 1: true, maxHeadFields + 1: false} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+strings.Repeat("a:\r\n", fields)+"\r\n") // Do reports a failure
		}()
		c, closeClient := New()
		response, err := c.Do(context.Background(), Target{ID: "t", Address: l.Addr().String()}, Request{
			Method: http.MethodGet, URI: "/", Host: "h", Match: func(int, http.Header) Match { return Own },
		})
		if valid != (err == nil) || !valid && !errors.Is(err, ErrInvalid) {
			t.Errorf("%d fields: error %v", fields, err)
		}
		if err == nil {
			_ = response.Body.Close()
		}
		closeClient()
		_ = l.Close()
	}
}
