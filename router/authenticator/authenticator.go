// Package authenticator signs and verifies HTTP requests between daemons with an
// HMAC under the fleet secret.
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

// ErrUnauthenticated is returned for a request without a valid, recent signature.
var ErrUnauthenticated = errors.New("request between daemons is not authenticated")

// signatureHeader holds the sender, the Unix time in seconds and the signature,
// separated by spaces.
const signatureHeader = "Monsoondeck-Peer"

// maxSkew bounds the difference between the time of a signature and the clock of
// the verifier. It covers both the age of the signature and the clock skew.
const maxSkew = 30 * time.Second

// Authenticator signs requests as one daemon and verifies those of others. It is
// safe for concurrent use.
type Authenticator struct {
	daemonID string
	secret   []byte
	clock    func() time.Time
}

// New returns an Authenticator that signs as the daemon with the id.
func New(daemonID string, secret []byte, clock func() time.Time) *Authenticator {
	return &Authenticator{daemonID: daemonID, secret: secret, clock: clock}
}

// Sign adds a signature that is valid for the method and path of the request.
func (a *Authenticator) Sign(r *http.Request) { a.SignHeader(r.Header, requestScope(r)) }

// Verify returns the id of the daemon that signed the request, or
// ErrUnauthenticated.
func (a *Authenticator) Verify(r *http.Request) (string, error) {
	return a.VerifyHeader(r.Header, requestScope(r))
}

// SignHeader adds a signature that is valid for one scope, such as "forward".
func (a *Authenticator) SignHeader(h http.Header, scope string) {
	timestamp := strconv.FormatInt(a.clock().Unix(), 10)
	h.Set(signatureHeader, strings.Join([]string{a.daemonID, timestamp, a.signature(a.daemonID, timestamp, scope)}, " "))
}

// VerifyHeader returns the id of the daemon that signed for the scope, or
// ErrUnauthenticated.
func (a *Authenticator) VerifyHeader(h http.Header, scope string) (string, error) {
	parts := strings.Split(h.Get(signatureHeader), " ")
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

// requestScope returns the scope of a request: its method and path.
func requestScope(r *http.Request) string { return r.Method + " " + r.URL.EscapedPath() }

func (a *Authenticator) signature(sender, timestamp, scope string) string {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte(strings.Join([]string{sender, timestamp, scope}, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}
