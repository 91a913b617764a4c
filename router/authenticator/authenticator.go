// Package authenticator signs and checks the plain HTTP requests between
// daemons with the fleet secret.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnauthenticated reports a request without a valid, recent signature.
var ErrUnauthenticated = errors.New("request between daemons is not authenticated")

// header carries the sender, the time and the signature.
const header = "Monsoondeck-Peer"

// maxSkew bounds how old a signature may be and how far clocks may differ.
const maxSkew = 30 * time.Second

// Authenticator signs as one daemon. It is safe for concurrent use.
type Authenticator struct {
	self   string
	secret []byte
	clock  func() time.Time
}

// New returns an Authenticator for a daemon.
func New(self string, secret []byte, clock func() time.Time) *Authenticator {
	return &Authenticator{self: self, secret: secret, clock: clock}
}

// Sign adds a signature of method and path to the request.
func (a *Authenticator) Sign(r *http.Request) { a.SignHeader(r.Header, scope(r)) }

// Verify returns the sender of a request, or ErrUnauthenticated.
func (a *Authenticator) Verify(r *http.Request) (string, error) {
	return a.VerifyHeader(r.Header, scope(r))
}

// SignHeader adds a signature that is valid for one purpose.
func (a *Authenticator) SignHeader(h http.Header, scope string) {
	at := strconv.FormatInt(a.clock().Unix(), 10)
	h.Set(header, strings.Join([]string{a.self, at, a.signature(a.self, at, scope)}, " "))
}

// VerifyHeader returns the sender that signed for the purpose, or
// ErrUnauthenticated.
func (a *Authenticator) VerifyHeader(h http.Header, scope string) (string, error) {
	parts := strings.Split(h.Get(header), " ")
	if len(parts) != 3 {
		return "", ErrUnauthenticated
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || a.clock().Sub(time.Unix(seconds, 0)).Abs() > maxSkew {
		return "", errors.Wrap(ErrUnauthenticated, "the signature is too old or the clocks differ")
	}
	if !hmac.Equal([]byte(parts[2]), []byte(a.signature(parts[0], parts[1], scope))) {
		return "", errors.Wrap(ErrUnauthenticated, "the signature does not match")
	}
	return parts[0], nil
}

func scope(r *http.Request) string { return r.Method + " " + r.URL.EscapedPath() }

func (a *Authenticator) signature(sender, at, scope string) string {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte(strings.Join([]string{sender, at, scope}, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}
