package connector

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"monsoondeck.example/logger"
)

const (
	// maxHandshakeBytes limits the messages of peers that are not authenticated.
	maxHandshakeBytes = 4 << 10
	// maxHeadBytes limits the header of the response of a peer, with which it is not
	// authenticated either.
	maxHeadBytes = 64 << 10
	nonceBytes   = 16

	// The labels prevent the proof of one side from being used as that of the other.
	labelDialer   = "monsoondeck peer dialer 1"
	labelAcceptor = "monsoondeck peer acceptor 1"
)

// Close reasons of a refused handshake.
const (
	reasonUnauthenticated = "unauthenticated"
	reasonStale           = "stale"
	reasonSelf            = "self"
	reasonWrongPeer       = "other"
)

// hello is the first message of each side. Both proofs cover the new nonces of both
// sides, so a recorded handshake cannot be replayed.
type hello struct {
	ID string `json:"id"`
	// To is the daemon that the dialer expects; empty for any.
	To          string `json:"to,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	// TimeMs is the sender's clock in milliseconds since 1970, for the log only. A
	// difference does not end the handshake: the nonces already prevent a replay, and
	// a clock that jumps must not disconnect a daemon.
	TimeMs int64  `json:"timeMs"`
	Nonce  []byte `json:"nonce"`
	// Newest is the largest incarnation that the acceptor has seen of the dialer, if that of
	// the dialer is smaller; otherwise 0.
	Newest uint64 `json:"newest,omitempty"`
}

// answer is the acceptor's hello with its proof.
type answer struct {
	Hello hello  `json:"hello"`
	Proof []byte `json:"proof"`
}

// confirm carries the dialer's proof.
type confirm struct {
	Proof []byte `json:"proof"`
}

// accepted is the last message; the acceptor sends it.
type accepted struct {
	Accepted bool `json:"accepted"`
}

func (h *Hub) hello() (hello, error) {
	n := make([]byte, nonceBytes)
	if _, err := rand.Read(n); err != nil {
		return hello{}, errors.Wrap(err, "read random bytes")
	}
	return hello{ID: h.options.Self, Incarnation: h.incarnation.Load(), TimeMs: time.Now().UnixMilli(), Nonce: n}, nil
}

// proof returns the HMAC of the label and both hellos. Each string is preceded by
// its length so that no two inputs have the same encoding.
func (h *Hub) proof(label string, dialer, acceptor hello) []byte {
	m := hmac.New(sha256.New, h.options.Secret)
	writeString := func(s []byte) {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		m.Write(s)
	}
	writeString([]byte(label))
	for _, o := range []hello{dialer, acceptor} {
		writeString([]byte(o.ID))
		writeString([]byte(o.To))
		m.Write(binary.BigEndian.AppendUint64(nil, o.Incarnation))
		m.Write(binary.BigEndian.AppendUint64(nil, uint64(o.TimeMs)))
		writeString(o.Nonce)
		if o.Newest != 0 { // otherwise the proof is that of earlier versions
			m.Write(binary.BigEndian.AppendUint64(nil, o.Newest))
		}
	}
	return m.Sum(nil)
}

// dialerHandshake runs the dialer's side of the handshake.
func (h *Hub) dialerHandshake(ctx context.Context, c *websocket.Conn, id string) (*link, error) {
	c.SetReadLimit(maxHandshakeBytes)
	own, err := h.hello()
	if err != nil {
		return nil, err
	}
	own.To = id
	if err := writeMessage(ctx, c, own); err != nil {
		return nil, err
	}
	var a answer
	if err := readMessage(ctx, c, &a); err != nil {
		return nil, err
	}
	if len(a.Hello.Nonce) != nonceBytes || !hmac.Equal(a.Proof, h.proof(labelAcceptor, own, a.Hello)) {
		_ = c.Close(websocket.StatusPolicyViolation, reasonUnauthenticated)
		return nil, errors.Wrapf(ErrUnauthenticated, "acceptor %q", a.Hello.ID)
	}
	if a.Hello.Newest > own.Incarnation {
		h.raise(a.Hello)
		_ = c.Close(websocket.StatusPolicyViolation, reasonStale)
		return nil, errors.Wrapf(ErrStale, "acceptor %q has seen incarnation %d of this daemon", a.Hello.ID, a.Hello.Newest)
	}
	if err := writeMessage(ctx, c, confirm{Proof: h.proof(labelDialer, own, a.Hello)}); err != nil {
		return nil, err
	}
	var done accepted
	if err := readMessage(ctx, c, &done); err != nil {
		return nil, err
	}
	return h.link(c, a.Hello), nil
}

// acceptorHandshake runs the acceptor's side of the handshake.
func (h *Hub) acceptorHandshake(ctx context.Context, c *websocket.Conn) (*link, error) {
	c.SetReadLimit(maxHandshakeBytes)
	var peer hello
	if err := readMessage(ctx, c, &peer); err != nil {
		return nil, err
	}
	if peer.ID == h.options.Self {
		return nil, errors.Wrapf(ErrSelf, "incarnation %d", peer.Incarnation)
	}
	if peer.To != "" && peer.To != h.options.Self {
		return nil, errors.Wrapf(ErrWrongPeer, "dialer expects %q", peer.To)
	}
	own, err := h.hello()
	if err != nil {
		return nil, err
	}
	if newest := h.newest(peer.ID); newest > peer.Incarnation {
		own.Newest = newest
	}
	if err := writeMessage(ctx, c, answer{Hello: own, Proof: h.proof(labelAcceptor, peer, own)}); err != nil {
		return nil, err
	}
	var a confirm
	if err := readMessage(ctx, c, &a); err != nil {
		return nil, err
	}
	if peer.ID == "" || len(peer.Nonce) != nonceBytes || !hmac.Equal(a.Proof, h.proof(labelDialer, peer, own)) {
		return nil, errors.Wrapf(ErrUnauthenticated, "dialer %q", peer.ID)
	}
	if !h.isNewest(peer.ID, peer.Incarnation) {
		return nil, errors.Wrapf(ErrStale, "dialer %q", peer.ID)
	}
	return h.link(c, peer), writeMessage(ctx, c, accepted{Accepted: true})
}

func (h *Hub) link(c *websocket.Conn, peer hello) *link {
	return &link{conn: c, id: peer.ID, incarnation: peer.Incarnation, clock: h.clock,
		clockDifference: time.Since(time.UnixMilli(peer.TimeMs))}
}

// ServeHTTP accepts a connection from a peer and runs the handshake.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath {
		http.NotFound(w, r)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, h.timing.Handshake)
	defer cancel()
	l, err := h.acceptorHandshake(ctx, c)
	if err == nil {
		h.counters.connections.Add(1)
		if err = h.attach(l); err == nil {
			return
		}
	}
	h.counters.handshakesFailed.Add(1)
	if !errors.IsAny(err, ErrSelf, ErrWrongPeer) {
		logger.Emit(h.options.Logger, logger.PeerRejected, slog.String("remote", r.RemoteAddr), slog.Any("error", err))
	}
	_ = c.Close(websocket.StatusPolicyViolation, reasonOf(err))
}

// reasonOf returns the close reason for a refused handshake.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, ErrSelf):
		return reasonSelf
	case errors.Is(err, ErrWrongPeer):
		return reasonWrongPeer
	case errors.Is(err, ErrStale):
		return reasonStale
	default:
		return reasonUnauthenticated
	}
}

func writeMessage(ctx context.Context, c *websocket.Conn, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode a handshake message")
	}
	return errors.Wrap(c.Write(ctx, websocket.MessageText, b), "write a handshake message")
}

// readMessage reads one handshake message. If the peer refused the handshake, the
// error matches the one that stands for its close reason.
func readMessage(ctx context.Context, c *websocket.Conn, v any) error {
	_, b, err := c.Read(ctx)
	if err != nil {
		err = errors.Wrap(err, "read a handshake message")
		var e websocket.CloseError
		if !errors.As(err, &e) {
			return err
		}
		switch e.Reason {
		case reasonSelf:
			return errors.Mark(err, ErrSelf)
		case reasonWrongPeer:
			return errors.Mark(err, ErrWrongPeer)
		case reasonStale:
			return errors.Mark(err, ErrStale)
		case reasonUnauthenticated:
			return errors.Mark(err, ErrUnauthenticated)
		}
		return err
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(b, v), "decode a handshake message"), ErrUnauthenticated)
}
