package dialer

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testSocket is a socket of which the test sets the state.
type testSocket struct {
	state    unix.TCPInfo
	stateErr error
	// timeouts are the user timeouts that were set.
	timeouts []time.Duration
	// probesBounded is set once the time between probes is bounded.
	probesBounded bool
	closed        bool
}

func (s *testSocket) info() (*unix.TCPInfo, error) { return &s.state, s.stateErr }

func (s *testSocket) setUserTimeout(d time.Duration) error {
	s.timeouts = append(s.timeouts, d)
	return nil
}

func (s *testSocket) setProbeInterval(time.Duration) error {
	s.probesBounded = true
	return errors.New("not supported")
}

func (s *testSocket) Close() error {
	s.closed = true
	return nil
}

// checkFor runs the checks of a time and returns the time after it. Unless answering, the
// last answer of the peer becomes older with each check.
func checkFor(p *slowPeer, s *testSocket, now time.Time, d time.Duration, answering bool) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(checkInterval)
		if !answering && s.state.Last_ack_recv > 0 {
			s.state.Last_ack_recv += uint32(checkInterval / time.Millisecond)
		}
		if !p.check(now) {
			break
		}
	}
	return now
}

// Guards against a silent path that is not noticed because the socket has no state, or one
// that says nothing, and against a peer that only sends and counts as one that receives.
func TestUserTimeoutStaysWithoutAnswers(t *testing.T) {
	for name, s := range map[string]*testSocket{
		"error":                 {stateErr: errors.New("not supported")},
		"zero":                  {},
		"only queue":            {state: unix.TCPInfo{Notsent_bytes: 1}},
		"only data in flight":   {state: unix.TCPInfo{Unacked: 1, Notsent_bytes: 1}},
		"silent, window closed": {state: unix.TCPInfo{Notsent_bytes: 1, Probes: 1, Last_ack_recv: 1100}},
		"peer only sends":       {state: unix.TCPInfo{Unacked: 1, Snd_wnd: 1, Last_ack_recv: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			p := &slowPeer{socket: s, written: func() bool { return false }, begin: begin}
			checkFor(p, s, begin, time.Minute, true)
			if len(s.timeouts) > 0 || s.closed {
				t.Errorf("user timeouts %v set, closed: %t", s.timeouts, s.closed)
			}
		})
	}
}

// Guards against a peer that reads slowly and is taken for a silent one, and against one
// that falls silent after that and is waited for.
func TestUserTimeoutIsExtendedWhileThePeerAnswers(t *testing.T) {
	for name, silent := range map[string]unix.TCPInfo{
		"window closed": {Notsent_bytes: 1, Probes: 1, Last_ack_recv: 1},
		"window open":   {Notsent_bytes: 1, Unacked: 1, Snd_wnd: 1, Last_ack_recv: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &testSocket{state: unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: 1}}
			begin := time.Now()
			p := &slowPeer{socket: s, written: func() bool { return false }, begin: begin}
			now := begin
			for now.Sub(begin) < time.Minute {
				now = checkFor(p, s, now, checkInterval, true)
				if got, least := s.timeouts[len(s.timeouts)-1], now.Sub(begin)+userTimeout; got < least {
					t.Fatalf("user timeout %v after %v", got, now.Sub(begin))
				}
			}
			if !s.probesBounded {
				t.Error("the time between probes is not bounded")
			}
			s.state = silent
			now = checkFor(p, s, now, userTimeout-checkInterval, false)
			if s.closed {
				t.Fatal("closed before the user timeout")
			}
			checkFor(p, s, now, 2*checkInterval, false)
			if !s.closed {
				t.Error("not closed after the user timeout")
			}
			if got, most := s.timeouts[len(s.timeouts)-1], now.Sub(begin)+userTimeout; got > most {
				t.Errorf("user timeout %v after %v", got, now.Sub(begin))
			}
		})
	}
}

// Guards against a silent path that is not noticed while the response is awaited, and
// against a check that goes on after the body has arrived or ends before.
func TestUserTimeoutIsRestoredOnceAllDataIsAcknowledged(t *testing.T) {
	s := &testSocket{state: unix.TCPInfo{Notsent_bytes: 1, Last_ack_recv: 1}}
	written := false
	now := time.Now()
	p := &slowPeer{socket: s, written: func() bool { return written }, begin: now}
	now = checkFor(p, s, now, time.Minute, true)
	s.state = unix.TCPInfo{Bytes_acked: 1, Last_ack_recv: 1}
	if !p.check(now) {
		t.Error("the check ended before all data was written")
	}
	written = true
	if p.check(now) {
		t.Error("the check goes on")
	}
	if got := s.timeouts[len(s.timeouts)-1]; got != userTimeout {
		t.Errorf("user timeout %v", got)
	}
}
