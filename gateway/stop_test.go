package gateway

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"monsoondeck.example/gateway/receiver"
)

// Guards against a daemon that ends without an answer to a request that it has read just
// before, and against connections without a request that delay its end.
func TestRequestReadAtTheEndOfTheDaemonIsAnswered(t *testing.T) {
	for name, first := range map[string]string{"whole": request, "part": request[:20]} {
		t.Run(name, func(t *testing.T) {
			s := startMeteredServer(t)
			g := &Gateway{callerServer: s.server, receiver: &receiver.Handler{}, logger: slog.New(slog.DiscardHandler), start: time.Now()}
			caller, unused := s.connect(t, true), s.connect(t, true)
			release, ended := make(chan struct{}), make(chan struct{})
			read := s.listener.holdNext(release)
			s.send(t, caller, first)
			<-read
			go func() {
				defer close(ended)
				g.drainCallers(g.clock()+time.Hour, time.Hour)
				_ = s.server.http.Close()
			}()
			if _, err := unused.ReadByte(); err != io.EOF {
				t.Errorf("read from an idle connection: %v, want its end", err)
			}
			close(release)
			s.send(t, caller, request[len(first):])
			s.wantAnswer(t, caller)
			<-ended
			if o := s.connections.occupancy(); o.Open != 0 {
				t.Errorf("%+v after the end, want no open connection", o)
			}
		})
	}
}

// Guards against a caller that delays the end of the daemon by a header that does not end.
func TestEndOfTheDaemonDoesNotWaitForEndlessHeaders(t *testing.T) {
	s := startMeteredServer(t)
	g := &Gateway{callerServer: s.server, receiver: &receiver.Handler{}, logger: slog.New(slog.DiscardHandler), start: time.Now()}
	caller := s.connect(t, true)
	release := make(chan struct{})
	close(release)
	read := s.listener.holdNext(release)
	s.send(t, caller, request[:20])
	<-read
	g.drainCallers(g.clock()+time.Hour, time.Millisecond)
	g.receiver.ActiveRequests.Add(1)
	g.drainCallers(g.clock()+time.Millisecond, time.Hour)
}
