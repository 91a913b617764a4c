package injector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
)

// startEcho returns the address of a server that sends back what it receives.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func startLink(t *testing.T, forward string) *Link {
	t.Helper()
	p, stop := New()
	t.Cleanup(stop)
	l, err := p.Add("link", "127.0.0.1:0", forward)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func connect(t *testing.T, l *Link) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// exchange sends text and checks that the same text comes back.
func exchange(c net.Conn, text string) error {
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	b := make([]byte, len(text))
	if _, err := io.ReadFull(c, b); err != nil {
		return err
	}
	if string(b) != text {
		return errors.Newf("got %q", b)
	}
	return nil
}

func setFault(t *testing.T, l *Link, f Fault) {
	t.Helper()
	if err := l.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

// TestHeldBytesArriveAfterTheFault guards against bytes that are delivered during a
// freeze or cut, and against held bytes that are lost or changed after it.
func TestHeldBytesArriveAfterTheFault(t *testing.T) {
	for _, f := range []Fault{{Kind: KindFreeze}, {Kind: KindCutOneWay}, {Kind: KindCutOneWay, Direction: Backward}} {
		l := startLink(t, startEcho(t))
		c := connect(t, l)
		if err := exchange(c, "before"); err != nil {
			t.Fatal(err)
		}
		setFault(t, l, f)
		if _, err := io.WriteString(c, "during"); err != nil {
			t.Fatal(err)
		}
		held := f.Direction
		if held == Both {
			held = Forward
		}
		for l.Held(held) < len("during") {
			time.Sleep(time.Millisecond)
		}
		if l.DeliveredBytes(Backward) != uint64(len("before")) {
			t.Errorf("%+v let bytes pass", f)
		}
		setFault(t, l, Fault{Kind: KindNone})
		b := make([]byte, 6)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "during" {
			t.Errorf("%+v: got %q, %v", f, b, err)
		}
	}
}

// TestCountsPrecedeDelivery guards against counts that are updated after the
// receiver has read the bytes: a caller that acts on a response would read a count
// without it.
func TestCountsPrecedeDelivery(t *testing.T) {
	l := startLink(t, startEcho(t))
	c := connect(t, l)
	for i := 1; i <= 3000; i++ {
		if err := exchange(c, "count"); err != nil {
			t.Fatal(err)
		}
		if n := l.DeliveredBytes(Backward); n != uint64(i*len("count")) {
			t.Fatalf("%d bytes counted after %d exchanges", n, i)
		}
		if n := l.Held(Backward); n != 0 {
			t.Fatalf("%d bytes held after exchange %d", n, i)
		}
	}
}

// TestCutResetsConnections guards against open or new connections that survive a cut,
// and against a cut that affects more connections than its count.
func TestCutResetsConnections(t *testing.T) {
	l := startLink(t, startEcho(t))
	c := connect(t, l)
	if err := exchange(c, "before"); err != nil {
		t.Fatal(err)
	}
	setFault(t, l, Fault{Kind: KindCut, Count: 2})
	if err := exchange(c, "x"); err == nil {
		t.Error("the old connection works")
	}
	// The reset may already arrive while the connection is opened.
	if c, err := net.Dial("tcp", l.Address()); err == nil {
		if err := exchange(c, "x"); err == nil {
			t.Error("a new connection works")
		}
		_ = c.Close()
	}
	if err := exchange(connect(t, l), "x"); err != nil {
		t.Errorf("the third connection fails: %v", err)
	}
}

// TestHalfCloseEndsOneDirection guards against a half-close that ends both directions.
func TestHalfCloseEndsOneDirection(t *testing.T) {
	l := startLink(t, startEcho(t))
	c := connect(t, l)
	setFault(t, l, Fault{Kind: KindHalfClose, Direction: Forward, Count: 1})
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil || string(b) != "request" {
		t.Errorf("got %q, %v", b, err)
	}
}

// TestLoseAnswerRunsTheRequest guards against a lost response whose request did not
// run, and against more lost responses than the count.
func TestLoseAnswerRunsTheRequest(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer s.Close()
	l := startLink(t, strings.TrimPrefix(s.URL, "http://"))
	setFault(t, l, Fault{Kind: KindLoseAnswer, Count: 1})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if _, err := client.Post("http://"+l.Address(), "text/plain", strings.NewReader("order")); err == nil {
		t.Error("the response arrived")
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("the request ran %d times", got)
	}
	r, err := client.Post("http://"+l.Address(), "text/plain", strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
}

// TestDelayHoldsManyChunks guards against delays that add up over chunks: the link
// must read on while earlier chunks wait.
func TestDelayHoldsManyChunks(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcdef"), 10*readBytes/16)
	l := startLink(t, startEcho(t))
	setFault(t, l, Fault{Kind: KindDelay, DelayMs: int(time.Hour.Milliseconds()), Direction: Backward})
	if _, err := connect(t, l).Write(data); err != nil {
		t.Fatal(err)
	}
	for l.Held(Backward) < len(data) {
		time.Sleep(time.Millisecond)
	}
	if n := l.DeliveredBytes(Backward); n > 0 {
		t.Errorf("%d bytes were not delayed", n)
	}
}

// TestDelayDelivers guards against delayed bytes that arrive too early, in
// another order or never.
func TestDelayDelivers(t *testing.T) {
	const delay = 50 * time.Millisecond
	l := startLink(t, startEcho(t))
	setFault(t, l, Fault{Kind: KindDelay, DelayMs: int(delay.Milliseconds())})
	c := connect(t, l)
	start := time.Now()
	go func() {
		_, _ = io.WriteString(c, strings.Repeat("0123456789", 100_000))
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || string(got) != strings.Repeat("0123456789", 100_000) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if took := time.Since(start); took < 2*delay {
		t.Errorf("took %v", took)
	}
}

// TestAPI guards against valid control requests that fail, and against invalid ones
// that succeed.
func TestAPI(t *testing.T) {
	p, stop := New()
	defer stop()
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/links", `{"name":"a","listen":"127.0.0.1:0","forward":"127.0.0.1:1"}`, 201},
		{"POST", "/v1/links", `{"name":"a","listen":"127.0.0.1:0","forward":"127.0.0.1:1"}`, 400},
		{"POST", "/v1/links", `{"name":"b"}`, 400},
		{"POST", "/v1/links/a/fault", `{"kind":"delay","direction":"backward","delayMs":5}`, 200},
		{"POST", "/v1/links/a/fault", `{"kind":"slow"}`, 400},
		{"POST", "/v1/links/a/fault", `{"kind":"delay","delayMs":-1}`, 400},
		{"POST", "/v1/links/a/fault", `{"kind":"delay","delay":5}`, 400},
		{"POST", "/v1/links/b/fault", `{"kind":"none"}`, 404},
		{"GET", "/v1/links", "", 200},
		{"DELETE", "/v1/links/a", "", 204},
		{"DELETE", "/v1/links/a", "", 404},
	} {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.status {
			t.Errorf("%s %s %s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
}

// TestRunPrintsAddressesAndServes guards against a process whose ports its parent
// cannot learn.
func TestRunPrintsAddressesAndServes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	done := make(chan int, 1)
	go func() {
		done <- run(ctx, []string{"--link", "a=127.0.0.1:0=" + startEcho(t)}, []string{"MONSOONFAULT_LISTEN=127.0.0.1:0"}, logger.Streams{Out: w, Err: w})
	}()
	d := json.NewDecoder(r)
	lines := map[string]string{}
	for lines["ready"] != "seen" {
		var e endpoint
		if err := d.Decode(&e); err != nil {
			t.Fatal(err)
		}
		lines[e.Kind] = e.Address
		if e.Kind == "ready" {
			lines["ready"] = "seen"
		}
	}
	c, err := net.Dial("tcp", lines["link"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := exchange(c, "hello"); err != nil {
		t.Error(err)
	}
	answer, err := http.Get("http://" + lines["control"] + "/v1/links")
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	cancel()
	if code := <-done; code != ExitDone {
		t.Errorf("exit code %d", code)
	}
}
