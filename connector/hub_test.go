package connector

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/messenger"
)

var testSecret = []byte("0123456789abcdef")

// startHub returns a hub that listens on loopback, and its address. Its time
// limits are long, so that a slow machine loses no frames.
func startHub(t *testing.T, id string, incarnation uint64, change ...func(*Options)) (*Hub, string) {
	t.Helper()
	o := Options{Self: id, Incarnation: incarnation, Secret: testSecret, Timing: Timing{
		MaxAge: time.Minute, PingTimeout: time.Minute, Handshake: time.Minute, PingAfter: 20 * time.Millisecond}}
	for _, f := range change {
		f(&o)
	}
	h, stop, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(func() { stop(); s.Close() })
	return h, strings.TrimPrefix(s.URL, "http://")
}

// TestLastFramesAreSent guards against a daemon whose last messages are lost
// because it closes its connections before they are sent.
func TestLastFramesAreSent(t *testing.T) {
	b, address := startHub(t, "b", 1)
	long := Timing{Batch: 50 * time.Millisecond, Drain: time.Minute, MaxAge: time.Minute}
	a, stop, err := New(Options{Self: "a", Incarnation: 1, Secret: testSecret, Timing: long})
	if err != nil {
		t.Fatal(err)
	}
	to := Peer{ID: "b", Address: address}
	for nonce := range uint64(3) {
		a.Send(to, addProbe(nonce))
		if nonce == 0 {
			<-b.Received()
		}
	}
	stop()
	for last := uint64(0); last != 2; {
		for _, p := range (<-b.Received()).Probes {
			last = p.Nonce
		}
	}
}

// Guards against a lost peer that is noticed only at the next message to it, and
// against a closing hub that reports its peers as lost.
func TestLostConnectionsAreReported(t *testing.T) {
	lost, own := make(chan string, 8), make(chan string, 8)
	a, _ := startHub(t, "a", 1, func(o *Options) { o.OnPeerLost = func(id string) { lost <- id } })
	b, stop, err := New(Options{Self: "b", Incarnation: 1, Secret: testSecret, OnPeerLost: func(id string) { own <- id }})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(b)
	defer s.Close()
	a.Send(Peer{ID: "b", Address: strings.TrimPrefix(s.URL, "http://")}, addProbe(1))
	<-b.Received()
	stop()
	if id := <-lost; id != "b" {
		t.Errorf("%s was lost, want b", id)
	}
	if len(own) > 0 {
		t.Errorf("the closed hub reported %s as lost", <-own)
	}
}

func TestFramesReachThePeer(t *testing.T) {
	a, aa := startHub(t, "a", 1)
	b, ab := startHub(t, "b", 2)
	a.Send(Peer{Address: ab}, func(f *messenger.Frame) { f.Probes = append(f.Probes, messenger.Probe{Nonce: 7}) })
	f := <-b.Received()
	if f.Sender != "a" || f.Incarnation != 1 || len(f.Probes) != 1 || f.Probes[0].Nonce != 7 {
		t.Fatalf("received %+v", f)
	}
	b.Send(Peer{ID: "a", Address: aa}, func(f *messenger.Frame) { f.ProbeAcks = append(f.ProbeAcks, messenger.ProbeAck{Nonce: 7}) })
	f = <-a.Received()
	if f.Sender != "b" || len(f.ProbeAcks) != 1 {
		t.Fatalf("received %+v", f)
	}
	if a.Stats().Connections != 1 {
		t.Fatalf("%+v", a.Stats())
	}
}
