package connector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/injector"
	"monsoondeck.example/messenger"
)

// wait polls until the condition holds. A condition that never holds fails by the
// time limit of the test binary.
func wait(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func addProbe(nonce uint64) func(*messenger.Frame) {
	return func(f *messenger.Frame) { f.Probes = append(f.Probes, messenger.Probe{Nonce: nonce}) }
}

// sendUntilReceived sends the nonce repeatedly until the other hub has received it,
// because frames may be lost.
func sendUntilReceived(from *Hub, to Peer, other *Hub, nonce uint64) {
	for {
		from.Send(to, addProbe(nonce))
		select {
		case f := <-other.Received():
			for _, p := range f.Probes {
				if p.Nonce == nonce {
					return
				}
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// shortTimeouts shortens the checks of silent connections.
func shortTimeouts(o *Options) {
	o.Timing = Timing{PingAfter: 20 * time.Millisecond, PingTimeout: 50 * time.Millisecond, MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond}
}

// pair returns hub a, and hub b behind a proxy link that injects faults.
func pair(t *testing.T) (a, b *Hub, toB Peer, l *injector.Link) {
	t.Helper()
	a, _ = startHub(t, "a", 1, shortTimeouts)
	b, address := startHub(t, "b", 1, shortTimeouts)
	p, stop := injector.New()
	t.Cleanup(stop)
	l, err := p.Add("ab", "127.0.0.1:0", address)
	if err != nil {
		t.Fatal(err)
	}
	return a, b, Peer{ID: "b", Address: l.Address()}, l
}

// TestPeersReconnectAfterFaults guards against connections that are not replaced
// after a fault, and against a second connection that stays beside the first.
func TestPeersReconnectAfterFaults(t *testing.T) {
	for _, f := range []injector.Fault{
		{Kind: injector.KindCut},
		{Kind: injector.KindFreeze},
		{Kind: injector.KindCutOneWay, Direction: injector.Forward},
		{Kind: injector.KindCutOneWay, Direction: injector.Backward},
		{Kind: injector.KindHalfClose, Direction: injector.Forward, Count: 1},
		{Kind: injector.KindHalfClose, Direction: injector.Backward, Count: 1},
	} {
		t.Run(string(f.Kind+injector.Kind(f.Direction)), func(t *testing.T) {
			a, b, to, l := pair(t)
			sendUntilReceived(a, to, b, 1)
			p := a.peer(to)
			first := p.connected()
			if err := l.SetFault(f); err != nil {
				t.Fatal(err)
			}
			wait(func() bool { a.Send(to, addProbe(2)); return p.connected() != first })
			if err := l.SetFault(injector.Fault{Kind: injector.KindNone}); err != nil {
				t.Fatal(err)
			}
			sendUntilReceived(a, to, b, 3)
			sendUntilReceived(b, Peer{ID: "a"}, a, 4)
			wait(func() bool { return linkCount(a, "b") == 1 && linkCount(b, "a") == 1 })
		})
	}
}

func linkCount(h *Hub, id string) int {
	p := h.peer(Peer{ID: id})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

func dialing(h *Hub, id string) bool {
	p := h.peer(Peer{ID: id})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dialing
}

// TestSimultaneousConnectionsBecomeOne guards against two daemons that dial each
// other at the same time and keep both connections, or close both repeatedly.
func TestSimultaneousConnectionsBecomeOne(t *testing.T) {
	for i := range 20 {
		a, aa := startHub(t, "a", 1)
		b, ba := startHub(t, "b", 1)
		a.Send(Peer{ID: "b", Address: ba}, addProbe(1))
		b.Send(Peer{ID: "a", Address: aa}, addProbe(1))
		sendUntilReceived(a, Peer{ID: "b"}, b, 2)
		sendUntilReceived(b, Peer{ID: "a"}, a, 3)
		wait(func() bool {
			return linkCount(a, "b") == 1 && linkCount(b, "a") == 1 && !dialing(a, "b") && !dialing(b, "a")
		})
		if got := a.Stats().Connections; got > 2 {
			t.Errorf("attempt %d: %d connections were made", i, got)
		}
	}
}

// TestRestartedPeerReplacesTheOldOne guards against frames of a process that was
// replaced, and against an old process that connects again.
func TestRestartedPeerReplacesTheOldOne(t *testing.T) {
	a, aa := startHub(t, "a", 1, shortTimeouts)
	older, _ := startHub(t, "b", 1, shortTimeouts)
	to := Peer{ID: "a", Address: aa}
	sendUntilReceived(older, to, a, 1)
	newer, _ := startHub(t, "b", 2, shortTimeouts)
	sendUntilReceived(newer, to, a, 2)
	failed := older.Stats().HandshakesFailed
	wait(func() bool { older.Send(to, addProbe(1)); return older.Stats().HandshakesFailed > failed+1 })
	for len(a.Received()) > 0 {
		if f := <-a.Received(); f.Incarnation != 2 {
			t.Errorf("received a frame of incarnation %d", f.Incarnation)
		}
	}
	sendUntilReceived(newer, to, a, 3)
}

// TestReplacedHostIsFoundAtItsAddress guards against an address that stays mapped
// to the daemon that answered there first, and against frames for one daemon
// that reach another.
func TestReplacedHostIsFoundAtItsAddress(t *testing.T) {
	a, _ := startHub(t, "a", 1, shortTimeouts)
	b, stopB, err := New(Options{Self: "b", Incarnation: 1, Secret: testSecret})
	if err != nil {
		t.Fatal(err)
	}
	address, swap := startServer(t, b)
	sendUntilReceived(a, Peer{Address: address}, b, 1)
	stopB()
	c, _ := startHub(t, "c", 1, shortTimeouts)
	swap(c)
	failed := a.Stats().HandshakesFailed
	wait(func() bool {
		a.Send(Peer{ID: "b", Address: address}, addProbe(2))
		return a.Stats().HandshakesFailed > failed
	})
	sendUntilReceived(a, Peer{Address: address}, c, 3)
	if n := len(c.Received()); n > 0 {
		f := <-c.Received()
		if f.Probes[0].Nonce == 2 {
			t.Error("a frame for b reached c")
		}
	}
}

// TestLargeFramesAreDividedOrDropped guards against one large batch that blocks
// a connection or ends it.
func TestLargeFramesAreDividedOrDropped(t *testing.T) {
	a, _ := startHub(t, "a", 1)
	b, address := startHub(t, "b", 1)
	to := Peer{ID: "b", Address: address}
	const entries = 20_000
	a.Send(to, func(f *messenger.Frame) {
		for i := range entries {
			f.HostMarks = append(f.HostMarks, messenger.HostMark{Target: fmt.Sprintf("engine-%05d", i), Revision: 1 << 40})
		}
	})
	got := 0
	for got < entries {
		got += len((<-b.Received()).HostMarks)
	}
	a.Send(to, func(f *messenger.Frame) {
		f.ConfigPushes = []messenger.ConfigPush{{Body: strings.Repeat("x", 300<<10)}}
	})
	wait(func() bool { return a.Stats().FramesDropped == 1 })
	sendUntilReceived(a, to, b, 1)
	if got := b.Stats().Connections; got != 1 {
		t.Errorf("%d connections", got)
	}
}

// TestSendDoesNotBlock guards against a Send that blocks on a peer that does not
// respond, and against an unbounded queue of frames for it.
func TestSendDoesNotBlock(t *testing.T) {
	a, b, to, l := pair(t)
	sendUntilReceived(a, to, b, 1)
	if err := l.SetFault(injector.Fault{Kind: injector.KindFreeze}); err != nil {
		t.Fatal(err)
	}
	p := a.peer(to)
	for range 100 {
		a.Send(to, func(f *messenger.Frame) {
			f.HostMarks = append(f.HostMarks, make([]messenger.HostMark, maxFrameEntries)...)
		})
		p.queue.mutex.Lock()
		n := len(p.queue.frames)
		p.queue.mutex.Unlock()
		if n > maxQueuedFrames {
			t.Fatalf("%d frames wait", n)
		}
	}
}
