package meter

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/resolver"
)

// Guards against a header whose size and end depend on how the network splits it, and
// against bytes of the body that count as header.
func TestScanDoesNotDependOnHowTheHeaderArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		fields := rapid.IntRange(0, 20).Draw(t, "fields")
		var b strings.Builder
		b.WriteString("POST / HTTP/1.1" + lineEnd)
		requestLine := b.Len()
		for range fields {
			b.WriteString("a:" + rapid.StringMatching(`[b\r]{0,5}c?`).Draw(t, "value") + lineEnd)
		}
		b.WriteString(lineEnd)
		size := b.Len()
		data := b.String() + rapid.SampledFrom([]string{"", "body", "\r\n\r\nbody\n\n"}).Draw(t, "body")
		var s headerScanner
		for len(data) > 0 && !s.ended {
			n := rapid.IntRange(1, len(data)).Draw(t, "bytes")
			s.scan([]byte(data[:n]))
			data = data[n:]
		}
		if s.size != size || s.requestLine != requestLine || s.lines != fields+2 || !s.ended {
			t.Fatalf("%+v, want %d bytes, %d of them the request line, %d lines, ended", s, size, requestLine, fields+2)
		}
	})
}

// shortFields returns a request whose header has as many different fields with short names as
// fit in the size.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+8 <= size; i++ {
		_, _ = fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/1296%36])
	}
	return "GET / HTTP/1.1\r\nHost:\r\n" + b.String() + "\r\n"
}

// Guards against a process that is killed by very many short header fields: what is
// charged must cover what the parsed header and its copy for a target hold.
func TestCostCoversTheMemoryOfShortFields(t *testing.T) {
	same := "GET / HTTP/1.1\r\nHost:\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	long := "GET / HTTP/1.1\r\nHost:\r\na: " + strings.Repeat("x", 16000) + "\r\n\r\n"
	few := "GET / HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\nX-Request-Id: 4323387cdea88984\r\n\r\n"
	for name, head := range map[string]string{"different": shortFields(16 << 10), "same": same, "long": long, "few": few} {
		const requests = 100
		var s headerScanner
		s.scan([]byte(head))
		held := make([]*http.Request, 0, requests)
		copies := make([]http.Header, 0, requests)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range requests {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			held = append(held, r)
			copies = append(copies, r.Header.Clone())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		each := int64(after.HeapAlloc-before.HeapAlloc) / requests
		const readBuffer = 4 << 10 // part of connectionBytes
		t.Logf("%s: %d fields, %d bytes: %d bytes held, %d charged", name, s.lines, s.size, each, s.cost())
		if each > s.cost()+readBuffer {
			t.Errorf("%s: %d bytes are held for a header that is charged %d", name, each, s.cost())
		}
		runtime.KeepAlive(held)
		runtime.KeepAlive(copies)
	}
}

// Guards against a limit on the number of fields that a header within its size reaches, and
// against one that is counted differently before and after parsing.
func TestHeaderWithinItsSizeIsWithinTheNumberOfFields(t *testing.T) {
	const limit = 16384
	size, fields := HeaderLimits(resolver.Limits{HeaderBytes: limit})
	if size != limit || fields != 4096 {
		t.Fatalf("limits %d, %d; want %d, 4096", size, fields, limit)
	}
	full := strings.Repeat("a:\r\n", limit/4-1)
	for head, want := range map[string]bool{
		"GET / HTTP/1.1\r\n" + full + "b:\r\n\r\n":    false,
		"GET / HTTP/1.1\r\n" + full + "b:xx\r\n\r\n":  true,
		"GET / HTTP/1.1\r\n" + full + "b:\nc:\n\r\n":  true,
		"GET /" + strings.Repeat("x", limit) + "\r\n": true,
		"GET / HTTP/1.1\r\n" + strings.Repeat("x", 9): false,
	} {
		var s headerScanner
		s.scan([]byte(head))
		if s.exceeds(size, fields) != want {
			t.Errorf("%d bytes, %d lines: exceeds is %t", s.size, s.lines, !want)
		}
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte("GET / HTTP/1.1\r\nHost:h\r\nB: c\r\n\r\n"))))
	if err != nil {
		t.Fatal(err)
	}
	if size, fields := HeaderSize(r); size != len("Host:h\r\nB:c\r\n") || fields != 2 {
		t.Errorf("size %d with %d fields", size, fields)
	}
}
