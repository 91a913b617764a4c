package receiver_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"monsoondeck.example/gateway/receiver"
)

// Guards against a response without a body whose Content-Length is replaced by 0: callers take
// it for the length of the body that a GET would get.
func TestLengthOfAResponseWithoutABodyIsKept(t *testing.T) {
	for name, tc := range map[string]struct {
		method, raw string
		want        string
	}{
		"HEAD":            {http.MethodHead, "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 12\r\n\r\n", "12"},
		"HEAD, no length": {http.MethodHead, "HTTP/1.1 200 OK\r\nSigned: s\r\n\r\n", ""},
		"HEAD, chunked":   {http.MethodHead, "HTTP/1.1 200 OK\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		"HEAD, error":     {http.MethodHead, "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n", "9"},
		// net/http sends no length with these, which RFC 9110 permits.
		"status 304": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", ""},
		"status 204": {http.MethodGet, "HTTP/1.1 204 No Content\r\nSigned: s\r\n\r\n", ""},
		"GET, empty": {http.MethodGet, "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 0\r\n\r\n", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			target := startCuttingTarget(t)
			target.first.Store(&cutResponse{raw: tc.raw, sent: len(tc.raw)})
			f := newFixture(t, nil, func(o *receiver.Options) { o.TargetClient, o.Protocol = target, platformHeaders{} })
			r, err := http.NewRequestWithContext(context.Background(), tc.method, f.server.URL+"/safe/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h.example"
			r.Header.Set("Key", "k")
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if got := response.Header.Get("Content-Length"); got != tc.want {
				t.Errorf("status %d, Content-Length %q, want %q", response.StatusCode, got, tc.want)
			}
		})
	}
}
