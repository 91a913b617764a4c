package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/tallier"
)

// keyProtocol finds keys in the field Key. Its other methods are not called.
type keyProtocol struct{ Protocol }

func (keyProtocol) FindKey(header []byte) string {
	_, rest, _ := strings.Cut(string(header), "Key: ")
	key, _, _ := strings.Cut(rest, "\r\n")
	return key
}

// newBusyGateway returns the parts of a Gateway that decide on refused connections. Its host is
// flooded.
func newBusyGateway(t *testing.T) *Gateway {
	t.Helper()
	c := controller.New(controller.Options{
		Host: "self", DataCentre: "d", Policy: placer.ShortestExpectedTime, Queue: queuer.DefaultSettings(), ShareWindow: 4 * time.Second,
		SendReport: func(controller.Report, []string) {}, SendRegistryChange: func(controller.RegistryChange, []string) {},
		Probe: func(registrar.Entry) {}, RefetchConfig: func() {}, NoticeEra: func(uint64) {}, RequestConfig: func(string, uint64) {},
		SendConfig: func(resolver.Config, []string) {}, ReportInterval: func(int) time.Duration { return time.Second },
		Peers: func() []controller.Daemon { return nil }, AddPeers: func([]controller.Daemon) {},
		Clock: func() time.Duration { return time.Second }, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	c.SetConfig(0, resolver.New(resolver.Content{
		Version: 1,
		Routes: []resolver.Route{
			{Name: "keys", Host: "h", Prefix: "/keys/", Destinations: []resolver.Destination{{Service: "s", Weight: 1}}},
			{Name: "all", Host: "h", Prefix: "/all/", Anonymous: true, Destinations: []resolver.Destination{{Service: "s", Weight: 1}}},
		},
		Accounts: []resolver.Account{{Name: "forge", Keys: []string{"k1"}}},
	}))
	for {
		if _, ok := c.Current(); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	m := newBusyMonitor(1)
	m.accounts = &fakeAccounts{service: map[string]float64{"forge": 8e6}, refused: map[string]int{}}
	return &Gateway{controller: c, options: Options{Protocol: keyProtocol{}}, overload: m, tally: tallier.New(8)}
}

// Guards against FAIR of 2026-12-06, report 2: requests of an account that had lost all of its
// keys were refused by a busy host with 503 and Retry-After, as if they could be served later,
// while other hosts answered 401.
func TestBusyHostTellsThatTheKeyIsUnknown(t *testing.T) {
	g := newBusyGateway(t)
	for name, tc := range map[string]struct {
		path, key string
		unknown   bool
	}{
		"known key":                {"/keys/1", "k1", false},
		"lost key":                 {"/keys/1?q=1", "k2", true},
		"no key":                   {"/keys/1", "", true},
		"anonymous route":          {"/all/1", "k2", false},
		"no route":                 {"/none/1", "k2", false},
		"a path that is no target": {"keys", "k2", false},
	} {
		header := "POST " + tc.path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
		if tc.key != "" {
			header += "Key: " + tc.key + "\r\n"
		}
		response, taken := g.readmit([]byte(header+"\r\n"), -1)
		if taken || (response != nil) != tc.unknown {
			t.Errorf("%s: taken %t, response %q", name, taken, response)
		}
		if response != nil && !strings.HasPrefix(string(response), "HTTP/1.1 401 ") {
			t.Errorf("%s: response %q, want status %d", name, response, http.StatusUnauthorized)
		}
	}
	refused := 0
	for _, s := range g.tally.Take() {
		if s.Account == "" {
			refused = s.Refused["unknownKey"]
		}
	}
	if refused != 2 {
		t.Errorf("%d requests counted as unknownKey, want 2", refused)
	}
}
