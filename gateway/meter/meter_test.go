package meter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/limiter"
)

// clock is the clock of the tests.
func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// fixture is an HTTP server with metered connections.
type fixture struct {
	meter  *Meter
	memory *limiter.Admission
	server *http.Server
	addr   string
}

// start starts a server with the limits and the memory in bytes.
func start(t *testing.T, limits resolver.Limits, memory limiter.AdmissionSettings, h http.Handler) *fixture {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{memory: limiter.NewAdmission(memory), addr: l.Addr().String()}
	f.meter = New(Options{
		Memory: f.memory, Limits: func() resolver.Limits { return limits }, OnClose: func(Reason, net.Addr) {}, Clock: clock,
		Refusal: func(status int) []byte {
			return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		},
	})
	f.server = &http.Server{
		Handler: h, ReadHeaderTimeout: HeaderStartTimeout, MaxHeaderBytes: MaxHeaderBytes,
		ConnState: f.meter.TrackState(func(net.Conn, http.ConnState) {}),
	}
	listener := f.meter.Listener(l, l.(*net.TCPListener))
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends data on a new connection and returns the status of the response; 0 if the
// connection is closed without one.
func (f *fixture) exchange(t *testing.T, data string) int {
	t.Helper()
	c := f.dial(t)
	go func() { _, _ = io.WriteString(c, data) }() // the other side may refuse to read all of it
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// wantReleased waits until nothing is charged any more.
func (f *fixture) wantReleased(t *testing.T) {
	t.Helper()
	for _, k := range limiter.Kinds() {
		for bytes := int64(1); bytes != 0; bytes, _ = f.memory.Charged(k) {
			runtime.Gosched()
		}
	}
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// Guards against a limit of the configuration that is not enforced, and against refusing a
// header within it.
func TestHeaderLimitsOfTheConfigurationAreEnforced(t *testing.T) {
	const limit = 16384
	host := "Host:\r\n"
	full := host + strings.Repeat("a:\r\n", (limit-len(host)-5)/4)
	f := start(t, resolver.Limits{HeaderBytes: limit}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, ok)
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"shortest fields":     {"GET / HTTP/1.1\r\n" + full + "\r\n", 200},
		"long field":          {"GET / HTTP/1.1\r\nHost:\r\na:" + strings.Repeat("x", limit-11) + "\r\n\r\n", 200},
		"too long field":      {"GET / HTTP/1.1\r\nHost:\r\na:" + strings.Repeat("x", limit) + "\r\n\r\n", 431},
		"too long":            {"GET / HTTP/1.1\r\n" + full + "abc: defg\r\n\r\n", 431},
		"never ending":        {"GET / HTTP/1.1\r\n" + strings.Repeat(full, 3), 431},
		"too many fields":     {"GET / HTTP/1.1\r\nHost:\n" + strings.Repeat("a:\n", 5000) + "\r\n", 431},
		"long request line":   {"GET /" + strings.Repeat("x", 2*limit) + " HTTP/1.1\r\nHost:\r\n\r\n", 431},
		"endless empty lines": {strings.Repeat("\r\n", limit), 400},
	} {
		if status := f.exchange(t, c.head); status != c.status {
			t.Errorf("%s: status %d, want %d", name, status, c.status)
		}
	}
	if n := f.meter.Closed(HeaderTooLarge); n != 5 {
		t.Errorf("%d connections were closed for their headers, want 5", n)
	}
}

// Guards against a fixed limit for headers that are far smaller.
func TestLimitsBeforeAConfiguration(t *testing.T) {
	f := start(t, resolver.Limits{}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, ok)
	if status := f.exchange(t, "GET / HTTP/1.1\r\nHost:\r\na:"+strings.Repeat("x", defaultHeaderBytes-20)+"\r\n\r\n"); status != 200 {
		t.Errorf("status %d for a header within the default, want 200", status)
	}
	if status := f.exchange(t, "GET / HTTP/1.1\r\nHost:\r\na:"+strings.Repeat("x", defaultHeaderBytes+20)+"\r\n\r\n"); status != 431 {
		t.Errorf("status %d for a header over the default, want 431", status)
	}
}

// Guards against a header that holds its connection for the fixed ten seconds, on a new
// connection and on one that had a request, and against a timeout that begins before the
// header does.
func TestHeaderTimeoutOfTheConfigurationIsEnforced(t *testing.T) {
	f := start(t, resolver.Limits{HeaderTimeout: 50 * time.Millisecond}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, ok)
	for _, before := range []int{0, 1, 2} {
		c := f.dial(t)
		reader := bufio.NewReader(c)
		for range before {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
		}
		part := "GE"
		if before == 2 {
			part = "GET / HTTP/1.1\r\nHost:"
		}
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(HeaderStartTimeout / 2)); err != nil {
			t.Fatal(err)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("after %d requests: %v, want the end of the connection", before, err)
		}
	}
	if n := f.meter.Closed(HeaderTimeout); n != 3 {
		t.Errorf("%d connections were closed for their header timeout, want 3", n)
	}
	f.wantReleased(t)
}

// Guards against a process that is killed by headers that many connections send together
// and do not end: no handler runs before it is too late.
func TestHeadersOfManyConnectionsAreBounded(t *testing.T) {
	const bound = 2 << 20
	f := start(t, resolver.Limits{HeaderBytes: 16384}, limiter.AdmissionSettings{TotalBytes: 64 << 20, HeaderBytes: bound}, ok)
	head := "GET / HTTP/1.1\r\nHost:\r\n" + strings.Repeat("a:\r\n", 2000)
	cost := headerCost(len(head), 2002)
	held := []net.Conn{}
	for i := int64(0); i < bound/cost; i++ {
		c := f.dial(t)
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	for charged := int64(0); charged < bound/cost*cost; charged, _ = f.memory.Charged(limiter.KindHeader) {
		runtime.Gosched()
	}
	if status := f.exchange(t, head); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 while the headers of others hold the memory", status)
	}
	if status := f.exchange(t, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); status != http.StatusOK {
		t.Errorf("status %d, want 200 for an ordinary request", status)
	}
	for _, c := range held {
		_ = c.Close()
	}
	for charged := int64(1); charged != 0; charged, _ = f.memory.Charged(limiter.KindHeader) {
		runtime.Gosched()
	}
	if status := f.exchange(t, head+"\r\n"); status != http.StatusOK {
		t.Errorf("status %d after the others have left, want 200", status)
	}
}

// Guards against ordinary callers that are refused until the header timeout because large
// headers that do not end hold the memory: it keeps a reserve for small ones, and ends those
// that stall.
func TestStalledHeaderIsEndedWhenMemoryIsShort(t *testing.T) {
	const bound = 1 << 20
	f := start(t, resolver.Limits{HeaderBytes: 16384}, limiter.AdmissionSettings{
		TotalBytes: 64 << 20, HeaderBytes: bound, ReservedHeaderBytes: bound / 4, SmallBytes: 64 << 10,
	}, ok)
	head := "GET / HTTP/1.1\r\nHost:\r\n" + strings.Repeat("a:\r\n", 2000)
	c := f.dial(t)
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	for charged := int64(0); charged < headerCost(len(head), 2002); charged, _ = f.memory.Charged(limiter.KindHeader) {
		runtime.Gosched()
	}
	if status := f.exchange(t, head+"\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d for another large header, want 503", status)
	}
	for range 10 {
		if status := f.exchange(t, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); status != http.StatusOK {
			t.Errorf("status %d for an ordinary request, want 200", status)
		}
	}
	for f.memory.EvictStalled(clock()+time.Second, time.Second, 1) == 0 {
		runtime.Gosched() // the header is not watched yet
	}
	if response, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the stalled header got %v, %v; want 503", response, err)
	}
	_ = c.Close()
	for charged := int64(1); charged != 0; charged, _ = f.memory.Charged(limiter.KindHeader) {
		runtime.Gosched()
	}
	if status := f.exchange(t, head+"\r\n"); status != http.StatusOK {
		t.Errorf("status %d for a large header afterwards, want 200", status)
	}
}

// Guards against a connection without memory that is closed without a response.
func TestConnectionWithoutMemoryIsRefused(t *testing.T) {
	f := start(t, resolver.Limits{}, limiter.AdmissionSettings{TotalBytes: connectionBytes - 1}, ok)
	if status := f.exchange(t, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	f.wantReleased(t)
}

// Guards against requests that are sent ahead without bound while the first one is served,
// and against refusing those that fit.
func TestRequestsSentAheadAreCharged(t *testing.T) {
	for _, total := range []int64{connectionBytes + unreadBytes + 8<<10, connectionBytes + 8<<10} {
		serve, entered := make(chan struct{}), make(chan struct{}, 2)
		f := start(t, resolver.Limits{}, limiter.AdmissionSettings{TotalBytes: total}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			select {
			case <-serve:
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusOK)
		}))
		c := f.dial(t)
		reader := bufio.NewReader(c)
		const request = "GET / HTTP/1.1\r\nHost:\r\n\r\n"
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		<-entered
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		fits := total > connectionBytes+unreadBytes
		if !fits {
			if _, err := reader.ReadByte(); err == nil || f.meter.Closed(UnreadRequests) != 1 {
				t.Errorf("error %v, %d connections closed; want one closed for requests sent ahead", err, f.meter.Closed(UnreadRequests))
			}
			f.wantReleased(t)
			continue
		}
		for charged := int64(0); charged != unreadBytes; charged, _ = f.memory.Charged(limiter.KindKernel) {
			runtime.Gosched()
		}
		close(serve)
		for range 2 {
			if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v; want two responses", response, err)
			}
		}
		if charged, _ := f.memory.Charged(limiter.KindKernel); charged != 0 {
			t.Errorf("%d bytes are charged after the last response", charged)
		}
		_ = c.Close()
		f.wantReleased(t)
	}
}

// Guards against responses that stay in the send buffer because their caller never reads,
// while the connection counts as idle.
func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	f := start(t, resolver.Limits{}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 8<<10)) // the caller may be gone
	}))
	l, err := net.Dial("tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := l.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			if _, err := io.WriteString(l, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); err != nil {
				return
			}
		}
	}()
	now := time.Duration(0)
	for f.meter.Closed(SlowReader) == 0 {
		f.meter.Sweep(now)
		now += time.Second
		runtime.Gosched()
	}
	f.wantReleased(t)
}

// Guards against closing callers that read their responses.
func TestCallerThatReadsIsKept(t *testing.T) {
	f := start(t, resolver.Limits{}, limiter.AdmissionSettings{TotalBytes: 16 << 20}, ok)
	c := f.dial(t)
	reader := bufio.NewReader(c)
	for i := range 20 {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		f.meter.Sweep(time.Duration(i) * time.Second)
	}
}

// BenchmarkRead measures what the accounting adds to one request of a caller.
func BenchmarkRead(b *testing.B) {
	head := []byte("POST /v1/x HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Some-Field: 0123456789abcdef\r\n", 14) + "\r\n")
	m := New(Options{Memory: limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1 << 30}), Limits: func() resolver.Limits { return resolver.Limits{HeaderBytes: 16384, HeaderTimeout: time.Second} }, Clock: clock})
	for name, conn := range map[string]net.Conn{"plain": readerConn{data: head}, "metered": m.wrap(readerConn{data: head})} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			buffer := make([]byte, 4096)
			for b.Loop() {
				if _, err := conn.Read(buffer); err != nil {
					b.Fatal(err)
				}
				if c, ok := conn.(*Conn); ok {
					c.setState(http.StateActive)
					c.setState(http.StateIdle)
				}
			}
		})
	}
}

// readerConn is a net.Conn of which each read returns the data.
type readerConn struct {
	net.Conn
	data []byte
}

func (c readerConn) Read(p []byte) (int, error) { return copy(p, c.data), nil }
