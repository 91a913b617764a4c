package connector

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"monsoondeck.example/encoder"
)

// startServer serves hubs at one address; swap replaces the hub.
func startServer(t *testing.T, h *Hub) (address string, swap func(*Hub)) {
	t.Helper()
	var current atomic.Pointer[Hub]
	current.Store(h)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { current.Load().ServeHTTP(w, r) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), current.Store
}

// openConnection opens a WebSocket connection without a handshake.
func openConnection(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	c, r, err := websocket.Dial(t.Context(), "ws://"+address+peerPath, nil)
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.CloseNow() })
	return c
}

// dialWith runs the dialer's side of a handshake with the hello own and the proof
// that prove makes from the answer.
func dialWith(t *testing.T, address string, own hello, prove func(answer) []byte) (*websocket.Conn, error) {
	t.Helper()
	c := openConnection(t, address)
	if err := writeMessage(t.Context(), c, own); err != nil {
		t.Fatal(err)
	}
	var a answer
	if err := readMessage(t.Context(), c, &a); err != nil {
		return c, err
	}
	if err := writeMessage(t.Context(), c, confirm{Proof: prove(a)}); err != nil {
		t.Fatal(err)
	}
	return c, readMessage(t.Context(), c, &accepted{})
}

// TestHandshakeIsRefused guards against peers that are accepted without the secret:
// with a wrong one, with a recorded handshake, or with the proof of the acceptor
// itself.
func TestHandshakeIsRefused(t *testing.T) {
	a, _ := startHub(t, "a", 1)
	b, address := startHub(t, "b", 1)
	own, err := a.hello()
	if err != nil {
		t.Fatal(err)
	}
	var recorded []byte
	valid := func(h answer) []byte {
		recorded = a.proof(labelDialer, own, h.Hello)
		return recorded
	}
	if _, err := dialWith(t, address, own, valid); err != nil {
		t.Fatalf("valid handshake: %v", err)
	}
	asB, asOther, empty := own, own, own
	asB.ID, asOther.To, empty.ID = "b", "c", ""
	for name, c := range map[string]struct {
		own   hello
		prove func(answer) []byte
		want  error
	}{
		"recorded":                 {own, func(answer) []byte { return recorded }, ErrUnauthenticated},
		"proof of the acceptor":    {own, func(h answer) []byte { return h.Proof }, ErrUnauthenticated},
		"no proof":                 {own, func(answer) []byte { return nil }, ErrUnauthenticated},
		"without a name":           {empty, func(h answer) []byte { return a.proof(labelDialer, empty, h.Hello) }, ErrUnauthenticated},
		"name of the acceptor":     {asB, valid, ErrSelf},
		"another daemon is wanted": {asOther, valid, ErrWrongPeer},
	} {
		if _, err := dialWith(t, address, c.own, c.prove); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if got := b.Stats().Connections; got != 1 {
		t.Errorf("%d connections were accepted", got)
	}
}

// TestProofCoversEveryField guards against a field of the hello that an attacker can
// change without invalidating the proof.
func TestProofCoversEveryField(t *testing.T) {
	h, _ := startHub(t, "a", 1)
	base := hello{ID: "b", To: "a", Incarnation: 1, TimeMs: 1, Nonce: []byte("n")}
	seen := map[string]bool{string(h.proof(labelDialer, base, base)): true, string(h.proof(labelAcceptor, base, base)): true}
	changes := []hello{{"c", "a", 1, 1, base.Nonce, 0}, {"b", "", 1, 1, base.Nonce, 0}, {"b", "a", 2, 1, base.Nonce, 0},
		{"b", "a", 1, 2, base.Nonce, 0}, {"b", "a", 1, 1, []byte("m"), 0}, {"ba", "", 1, 1, base.Nonce, 0}, {"b", "a", 1, 1, base.Nonce, 1}}
	for _, c := range changes {
		seen[string(h.proof(labelDialer, c, base))] = true
		seen[string(h.proof(labelDialer, base, c))] = true
	}
	if want := 2 + 2*len(changes); len(seen) != want {
		t.Errorf("%d different proofs, want %d", len(seen), want)
	}
}

// impostor accepts every peer without knowing the secret.
func impostor(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	var h hello
	_ = readMessage(r.Context(), c, &h)
	_ = writeMessage(r.Context(), c, answer{Hello: hello{ID: "b", Nonce: h.Nonce}, Proof: make([]byte, 32)})
	_ = readMessage(r.Context(), c, &confirm{})
	_ = writeMessage(r.Context(), c, accepted{Accepted: true})
}

// TestDialFails guards against a dialer that trusts an acceptor without the secret,
// and against refusals whose reason does not reach the dialer.
func TestDialFails(t *testing.T) {
	a, aa := startHub(t, "a", 1)
	b, ba := startHub(t, "b", 2)
	_, otherFleet := startHub(t, "x", 1, func(o *Options) { o.Secret = []byte("another secret of the fleet") })
	old, _ := startHub(t, "b", 1)
	fake := httptest.NewServer(http.HandlerFunc(impostor))
	defer fake.Close()
	sendUntilReceived(b, Peer{ID: "a", Address: aa}, a, 1)
	for name, c := range map[string]struct {
		from        *Hub
		address, id string
		want        error
	}{
		"wrong secret":    {a, otherFleet, "", ErrUnauthenticated},
		"impostor":        {a, strings.TrimPrefix(fake.URL, "http://"), "", ErrUnauthenticated},
		"itself":          {a, aa, "", ErrSelf},
		"another daemon":  {a, ba, "c", ErrWrongPeer},
		"old incarnation": {old, aa, "a", ErrStale},
	} {
		if _, err := c.from.dial(c.address, c.id); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestHostileFrames guards against frames that name another sender, malformed or
// repeated frames, and frames above the size limit.
func TestHostileFrames(t *testing.T) {
	a, _ := startHub(t, "a", 1)
	b, address := startHub(t, "b", 1)
	own, err := a.hello()
	if err != nil {
		t.Fatal(err)
	}
	c, err := dialWith(t, address, own, func(h answer) []byte { return a.proof(labelDialer, own, h.Hello) })
	if err != nil {
		t.Fatal(err)
	}
	send := func(sender string, sequence uint64) []byte {
		f := newFrame(sender, sequence)
		data, err := a.encoder.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, data := range [][]byte{send("c", 1), []byte("garbage"), send("a", 5), send("a", 5), send("a", 4), send("a", 6)} {
		if err := c.Write(context.Background(), websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []uint64{5, 6} {
		if f := <-b.Received(); f.Sequence != want || f.Sender != "a" {
			t.Errorf("received %+v", f)
		}
	}
	if got := b.Stats().FramesRejected; got != 4 {
		t.Errorf("%d frames were rejected", got)
	}
	if err := c.Write(context.Background(), websocket.MessageBinary, make([]byte, encoder.MaxBytes+1)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Read(context.Background()); websocket.CloseStatus(err) != websocket.StatusMessageTooBig {
		t.Errorf("connection after an oversize frame: %v", err)
	}
}
