package connector

import (
	"math"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a daemon whose clock went back before its restart, and which its peers
// reject until the clock has caught up. The incarnation is the time of the start.
func TestRestartAfterTheClockWentBackIsAccepted(t *testing.T) {
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	incarnation := func(clock time.Time) uint64 { return uint64(clock.UnixMicro()) }
	b, address := startHub(t, "b", 1, shortTimeouts)
	c, addressOfC := startHub(t, "c", 1, shortTimeouts)
	first, stop, err := New(Options{Self: "a", Incarnation: incarnation(now), Secret: testSecret})
	if err != nil {
		t.Fatal(err)
	}
	sendUntilReceived(first, Peer{ID: "b", Address: address}, b, 1)
	sendUntilReceived(first, Peer{ID: "c", Address: addressOfC}, c, 1)
	stop()
	var raised atomic.Uint64
	second, addressOfSecond := startHub(t, "a", incarnation(now.Add(-time.Hour)), shortTimeouts, func(o *Options) {
		o.OnRaised = func(n uint64) {
			if raised.Swap(n) != 0 {
				t.Error("the incarnation was raised twice")
			}
		}
	})
	sendUntilReceived(second, Peer{ID: "b", Address: address}, b, 2)
	if got := raised.Load(); got != incarnation(now)+1 {
		t.Errorf("incarnation %d, want %d", got, incarnation(now)+1)
	}
	// A peer that dials reaches the daemon, too.
	sendUntilReceived(c, Peer{ID: "a", Address: addressOfSecond}, second, 3)
	// A late connection of the first run stays rejected.
	late, _ := startHub(t, "a", incarnation(now), shortTimeouts)
	failed := late.Stats().HandshakesFailed
	wait(func() bool {
		late.Send(Peer{ID: "b", Address: address}, addProbe(4))
		return late.Stats().HandshakesFailed > failed+1
	})
	sendUntilReceived(second, Peer{ID: "b", Address: address}, b, 5)
}

// Guards against an earlier run that is still alive and raises its incarnation to replace
// the later one, and against an incarnation that overflows.
func TestEarlierRunDoesNotReplaceALaterOne(t *testing.T) {
	b, address := startHub(t, "b", 1, shortTimeouts)
	to := Peer{ID: "b", Address: address}
	raises := func(o *Options) { o.OnRaised = func(uint64) { t.Error("the incarnation was raised") } }
	earlier, _ := startHub(t, "a", 1, shortTimeouts, raises)
	sendUntilReceived(earlier, to, b, 1)
	later, _ := startHub(t, "a", 2, shortTimeouts, raises)
	sendUntilReceived(later, to, b, 2)
	last, _ := startHub(t, "z", math.MaxUint64, shortTimeouts, raises)
	sendUntilReceived(last, to, b, 3)
	restarted, _ := startHub(t, "z", 1, shortTimeouts, raises)
	for _, h := range []*Hub{earlier, restarted} {
		failed := h.Stats().HandshakesFailed
		wait(func() bool { h.Send(to, addProbe(4)); return h.Stats().HandshakesFailed > failed+2 })
	}
	sendUntilReceived(later, to, b, 5)
}
