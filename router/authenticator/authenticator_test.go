package authenticator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/router/authenticator"
)

// Guards against a process outside the fleet that reads the configuration, and
// against signatures that are replayed later or for another request.
func TestVerifyAcceptsOnlyRecentSignaturesOfTheFleet(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(d time.Duration) func() time.Time { return func() time.Time { return now.Add(d) } }
	secret, other := []byte("0123456789abcdef"), []byte("another secret..")
	cases := []struct {
		name   string
		signer *authenticator.Authenticator
		change func(r *http.Request)
		want   error
	}{
		{"valid", authenticator.New("r1", secret, at(0)), func(*http.Request) {}, nil},
		{"clock differs a little", authenticator.New("r1", secret, at(-20*time.Second)), func(*http.Request) {}, nil},
		{"too old", authenticator.New("r1", secret, at(-time.Minute)), func(*http.Request) {}, authenticator.ErrUnauthenticated},
		{"wrong secret", authenticator.New("r1", other, at(0)), func(*http.Request) {}, authenticator.ErrUnauthenticated},
		{"other path", authenticator.New("r1", secret, at(0)), func(r *http.Request) { r.URL.Path = "/peer/other" }, authenticator.ErrUnauthenticated},
		{"other method", authenticator.New("r1", secret, at(0)), func(r *http.Request) { r.Method = http.MethodPost }, authenticator.ErrUnauthenticated},
		{"unsigned", authenticator.New("r1", secret, at(0)), func(r *http.Request) { r.Header.Del("Monsoondeck-Peer") }, authenticator.ErrUnauthenticated},
	}
	for _, c := range cases {
		r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/peer/config", nil)
		if err != nil {
			t.Fatal(err)
		}
		c.signer.Sign(r)
		c.change(r)
		sender, err := authenticator.New("r2", secret, at(0)).Verify(r)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		if c.want == nil && sender != "r1" {
			t.Errorf("%s: sender is %q", c.name, sender)
		}
	}
}
