package provider_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/provider"
)

// transact puts one row on the condition that it is absent.
func transact(t *testing.T, url string) error {
	t.Helper()
	table := provider.NewTable(provider.Options{URL: url, Timeout: 200 * time.Millisecond})
	return table.Transact(context.Background(), []provider.Condition{{Key: "a"}}, []provider.Row{{Key: "a", Value: []byte("v")}}, nil)
}

// Guards against an unknown outcome that is reported as certain, and a certain one
// that is reported as unknown.
func TestOutcomesOfCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		handler              http.HandlerFunc
		transact, read, list error
	}{
		"conflict":      {status(409), provider.ErrConflict, provider.ErrConflict, provider.ErrConflict},
		"not found":     {status(404), provider.ErrNotFound, provider.ErrNotFound, provider.ErrNotFound},
		"unavailable":   {status(503), provider.ErrUnavailable, provider.ErrUnavailable, provider.ErrUnavailable},
		"rate limited":  {status(429), provider.ErrUnavailable, provider.ErrUnavailable, provider.ErrUnavailable},
		"bad request":   {status(400), provider.ErrRejected, provider.ErrRejected, provider.ErrRejected},
		"gateway":       {status(502), provider.ErrUnknown, provider.ErrUnavailable, provider.ErrUnavailable},
		"status 000":    {rawStatus("000"), provider.ErrUnknown, provider.ErrUnavailable, provider.ErrUnavailable},
		"status 999":    {rawStatus("999"), provider.ErrUnknown, provider.ErrUnavailable, provider.ErrUnavailable},
		"response lost": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, provider.ErrUnknown, provider.ErrUnavailable, provider.ErrUnavailable},
		"no response":   {func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() }, provider.ErrUnknown, provider.ErrUnavailable, provider.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			table := provider.NewTable(provider.Options{URL: server.URL, Timeout: 200 * time.Millisecond})
			if err := transact(t, server.URL); !errors.Is(err, tc.transact) {
				t.Errorf("transaction: %v, want %v", err, tc.transact)
			}
			if _, err := table.Read(context.Background(), "config/head"); !errors.Is(err, tc.read) {
				t.Errorf("read: %v, want %v", err, tc.read)
			}
			if _, err := table.List(context.Background(), "p", "", 1); !errors.Is(err, tc.list) {
				t.Errorf("list: %v, want %v", err, tc.list)
			}
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if err := transact(t, "http://"+listener.Addr().String()); !errors.Is(err, provider.ErrUnavailable) || errors.Is(err, provider.ErrUnknown) {
		t.Errorf("without a connection: %v", err)
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// rawStatus responds with a status line that http.ResponseWriter does not send.
func rawStatus(code string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+code+" X\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	}
}

// Guards against requests that differ from the platform's protocol.
func TestWire(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		_ = json.NewEncoder(w).Encode(map[string]any{
			"key": "k", "value": []byte("v"), "revision": 7, "keys": []string{"b", "a"},
			"rows": []provider.Row{{Key: "k", Value: []byte("v"), Revision: 7}}, "hosts": []provider.Host{{Address: "h:1", State: provider.HostLeaving}},
		})
	}))
	defer server.Close()
	ctx, o := context.Background(), provider.Options{URL: server.URL}
	table, objects := provider.NewTable(o), provider.NewObjects(o)
	if row, err := table.Read(ctx, "config/head"); err != nil || row.Revision != 7 || string(row.Value) != "v" {
		t.Errorf("row %v, error %v", row, err)
	}
	if rows, err := table.List(ctx, "config/", "config/b", 10); err != nil || len(rows) != 1 {
		t.Errorf("rows %v, error %v", rows, err)
	}
	if err := transact(t, server.URL); err != nil {
		t.Error(err)
	}
	if keys, err := objects.List(ctx, "s/"); err != nil || !slices.Equal(keys, []string{"a", "b"}) {
		t.Errorf("keys %v, error %v", keys, err)
	}
	if err := errors.CombineErrors(objects.Put(ctx, "s/1", []byte("body")), objects.Delete(ctx, "s/1")); err != nil {
		t.Error(err)
	}
	if list, err := provider.NewHosts(o).Hosts(ctx); err != nil || list.Hosts[0].State != provider.HostLeaving {
		t.Errorf("hosts %v, error %v", list, err)
	}
	want := []string{
		"GET /v1/rows/config%2Fhead ",
		"GET /v1/rows?after=config%2Fb&limit=10&prefix=config%2F ",
		`POST /v1/transactions {"conditions":[{"key":"a","revision":0}],"puts":[{"key":"a","value":"dg=="}],"deletes":[]}`,
		"GET /v1/objects?prefix=s%2F ",
		"PUT /v1/objects/s%2F1 body",
		"DELETE /v1/objects/s%2F1 ",
		"GET /v1/hosts ",
	}
	if !slices.Equal(requests, want) {
		t.Errorf("requests\n%q, want\n%q", requests, want)
	}
}
