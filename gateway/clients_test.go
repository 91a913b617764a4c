package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"monsoondeck.example/gateway/settings"
)

// startInternal starts a server with the limits of a listener and returns its address.
func startInternal(t *testing.T, l internalListener, descriptors int) string {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	s, err := newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), logger)
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{settings: settings.Settings{Descriptors: descriptors}, logger: logger, metrics: &metrics{registry: prometheus.NewRegistry()}, start: time.Now()}
	g.limitClients(s, l)
	go func() { _ = s.run() }() // ends with Close
	t.Cleanup(func() { _ = s.http.Close() })
	return s.listener.Addr().String()
}

// exchange sends the text and returns the status of the response and whether the server
// closes the connection after it.
func exchange(t *testing.T, address, text string) (status int, closes bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	return r.StatusCode, r.Close
}

// Guards against a server that waits for a body nobody reads, against requests with very
// many fields, and against limits that refuse ordinary requests.
func TestInternalListenersLimitRequests(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "a%d:\r\n", i)
		}
		return b.String()
	}
	const get = "GET / HTTP/1.1\r\nHost: h\r\n"
	for name, tc := range map[string]struct {
		listener internalListener
		request  string
		status   int
		closes   bool
	}{
		"ordinary":                         {healthListener, get + "\r\n", 200, false},
		"of a peer":                        {peerListener, get + "\r\n", 200, true},
		"as many fields as allowed":        {healthListener, get + fields(internalHeaderFields) + "\r\n", 200, false},
		"too many fields":                  {healthListener, get + fields(internalHeaderFields+1) + "\r\n", 431, true},
		"header over the limit":            {metricsListener, get + "X: " + strings.Repeat("x", internalHeaderBytes) + "\r\n\r\n", 431, true},
		"header far over the limit":        {metricsListener, get + "X: " + strings.Repeat("x", 2*internalHeaderBytes) + "\r\n\r\n", 431, true},
		"body that does not end":           {healthListener, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", 200, true},
		"chunked body that does not end":   {metricsListener, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", 200, true},
		"body that waits for a 100 status": {healthListener, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			status, closes := exchange(t, startInternal(t, tc.listener, 600), tc.request)
			if status != tc.status || closes != tc.closes {
				t.Errorf("status %d, closes %t; want %d, %t", status, closes, tc.status, tc.closes)
			}
		})
	}
}

// Guards against silent connections that keep a health check out.
func TestSilentConnectionsDoNotKeepHealthChecksOut(t *testing.T) {
	address := startInternal(t, healthListener, 600)
	for range 4 * minInternalConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	if status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
		t.Errorf("status %d", status)
	}
}

// Guards against a listener without a limit, and against one that admits nobody on a host
// with few descriptors.
func TestConnectionLimitFollowsTheDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 64, 100: 8, 3075: 30, 10250: 102} {
		if got := healthListener.connectionLimit(descriptors); got != want {
			t.Errorf("%d descriptors: %d connections, want %d", descriptors, got, want)
		}
	}
}
