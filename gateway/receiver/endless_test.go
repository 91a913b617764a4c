package receiver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
)

// Guards against comments without end that are forwarded until the caller leaves, and
// against a target that sends nothing else and counts as alive.
func TestTargetThatSendsOnlyCommentsFails(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	flood := strings.Repeat(": x\n\n", 800)
	for name, tc := range map[string]struct {
		path   string
		before string
		next   []reply
		broken bool
		want   string
	}{
		"before the first event": {"/stream/1", "", nil, true, ""},
		"after an event":         {"/stream/1", event, nil, true, event},
		"resumable":              {"/resume/1", event, []reply{{status: 200, header: signed, body: "id: 2\ndata: b\n\n"}}, false, event + "id: 2\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append([]reply{{status: 200, header: signed, body: tc.before, endless: flood}}, tc.next...), nil)
			f.permitSource.expected = time.Nanosecond
			r := f.postDefault(t, tc.path)
			if (r.err != nil) != tc.broken || strings.ReplaceAll(r.body, ": x\n\n", "") != tc.want {
				t.Errorf("%d bytes, error %v", len(r.body), r.err)
			}
			if len(r.body) > 64<<10 {
				t.Errorf("%d bytes of comments were forwarded", len(r.body))
			}
			if tc.next == nil {
				f.wantResults(t, placer.Failed)
			} else {
				f.wantResults(t, placer.Failed, placer.Complete)
			}
		})
	}
}

// endlessTarget is a receiver.TargetClient whose only target responds with the head and
// then repeats the text until its connection is closed.
type endlessTarget struct {
	*courier.Client
	address string
	// closed is closed when a connection of the target has ended.
	closed chan struct{}
}

func startEndlessTarget(t *testing.T, head, text string) endlessTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	client, closeIdle := courier.New()
	t.Cleanup(closeIdle)
	e := endlessTarget{Client: client, address: l.Addr().String(), closed: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(e.closed)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, text)
		}
	}()
	return e
}

func (e endlessTarget) Do(ctx context.Context, t courier.Target, r courier.Request) (*courier.Response, error) {
	t.Address = e.address
	return e.Client.Do(ctx, t, r)
}

// Guards against a target without end that keeps its connection, or fills the memory, after
// the caller has left or once its header or event is too long.
func TestEndlessResponsesEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: s\r\n"
	filler := strings.Repeat("x", 4<<10)
	for name, tc := range map[string]struct {
		path, head, text string
		// leaves is set if the response ends because the caller leaves.
		leaves bool
	}{
		"header field":             {"/once/1", head + "Field: ", filler, false},
		"header fields":            {"/once/1", head, "Field: " + filler + "\r\n", false},
		"informational responses":  {"/once/1", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"event":                    {"/stream/1", head + "\r\ndata: ", filler, false},
		"comment":                  {"/stream/1", head + "\r\n: ", filler, false},
		"body":                     {"/once/1", head + "\r\n", filler, true},
		"body with a large length": {"/once/1", head + "Content-Length: 1000000000000\r\n\r\n", filler, true},
		"chunk extension":          {"/safe/1", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", filler, false},
		"chunk extensions":         {"/safe/1", head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + filler[:2<<10] + "\r\nx\r\n", false},
		"chunk size":               {"/safe/1", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4<<10), false},
		"trailer":                  {"/safe/1", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nField: ", filler, false},
		"trailers":                 {"/safe/1", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "F: x\r\n", false},
		"trailer of a stream":      {"/stream/1", head + "Transfer-Encoding: chunked\r\n\r\nb\r\nid: 1\ndata:\n\r\n0\r\nField: ", filler, false},
		"no line":                  {"/once/1", "", filler, false},
		"empty lines":              {"/once/1", "", "\r\n", false},
		"no response":              {"/once/1", "", "\x00\xff\n", false},
		"status line":              {"/once/1", "HTTP/1.1 200 ", filler, false},
		"chunks":                   {"/once/1", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n", true},
		"error":                    {"/once/1", "HTTP/1.1 500 Failed\r\n\r\n", filler, true},
		"refusal":                  {"/once/1", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n", filler, false},
		"other target":             {"/once/1", "HTTP/1.1 421 Other\r\nMisdirected: 1\r\nContent-Length: 1000000000000\r\n\r\n", filler, false},
		"after the response":       {"/once/1", head + "Content-Length: 1\r\n\r\nx", filler, false},
		"events":                   {"/stream/1", head + "\r\n", "data: " + filler + "\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startEndlessTarget(t, tc.head, tc.text)
			f := newFixture(t, nil, func(o *receiver.Options) { o.TargetClient, o.RetryBudget = target, retryBudget{false} })
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+tc.path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h.example"
			r.Header.Set("Key", "k")
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil {
				if tc.leaves {
					_, err = io.CopyN(io.Discard, response.Body, 4<<20)
					leave()
				} else {
					_, _ = io.Copy(io.Discard, response.Body)
				}
				_ = response.Body.Close()
			}
			if tc.leaves && err != nil {
				t.Errorf("the response broke before the caller left: %v", err)
			}
			for closed := false; !closed; { // as the daemon does, for idle connections
				target.CloseIdle(func(courier.Target) bool { return true })
				select {
				case <-target.closed:
					closed = true
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}
