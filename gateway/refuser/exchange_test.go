package refuser

import (
	"testing"
	"time"
)

// Load: an account floods one small host with new connections. Guards against answers
// before the request has arrived, connections that are closed while the caller still
// sends, connections that stay open for callers that send nothing, and callers that send
// their header late and get no answer.
func TestExchange(t *testing.T) {
	type step struct {
		at     time.Duration
		data   string
		closed bool
		want   action
	}
	const head = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
	for name, steps := range map[string][]step{
		"whole request":         {{1, head + "body", false, answer}, {2, "", false, wait}, {3, "", true, finish}},
		"header in two parts":   {{1, head[:len(head)-3], false, wait}, {2, head[len(head)-3:], false, answer}},
		"repeated line breaks":  {{1, "G\r\n\rx\r\r\n\r", false, wait}, {2, "\n", false, answer}},
		"body after the answer": {{1, head, false, answer}, {2, "body\r\n\r\n", false, wait}, {3, "", true, finish}},
		"no request":            {{1, "", false, wait}, {headTimeout, "", false, wait}, {headTimeout + 2, "", false, answer}, {headTimeout + lingerTimeout + 3, "", false, finish}},
		"half a header":         {{1, "GET / HT", false, wait}, {headTimeout + 2, "", false, answer}, {headTimeout + 3, "TP/1.1\r\n\r\n", false, wait}, {headTimeout + 4, "", true, finish}},
		"caller gone":           {{1, "", true, finish}},
		"caller does not close": {{1, head, false, answer}, {lingerTimeout, "", false, wait}, {lingerTimeout + 2, "", false, finish}},
		"endless body":          {{1, head, false, answer}, {2, string(make([]byte, maxRequestBytes)), false, finish}},
	} {
		var e exchange
		for i, s := range steps {
			if got := e.receive(s.at, []byte(s.data), s.closed); got != s.want {
				t.Errorf("%s, step %d: action %v, want %v", name, i, got, s.want)
			}
		}
	}
}
