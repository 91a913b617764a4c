package dispatcher

import (
	"bytes"
	"flag"
	"io"
	"os"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run has the same result. -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomReader is a reader whose reads have random sizes.
type randomReader struct {
	t    *rapid.T
	body io.Reader
}

func (r randomReader) Read(p []byte) (int, error) {
	return r.body.Read(p[:rapid.IntRange(1, len(p)).Draw(r.t, "size")])
}

// Guards against events that are lost, merged or truncated because of the sizes of the
// reads, and against a partial last event that is returned.
func TestSplitterReturnsWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-z:]{1,12}(\r?\nd[a-z]{0,900})?`)
		blank := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n", "\n\r\n"})
		var wanted []string
		var stream bytes.Buffer
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			wanted = append(wanted, line.Draw(t, "event")+blank.Draw(t, "end"))
			stream.WriteString(wanted[len(wanted)-1])
		}
		stream.WriteString(rapid.SampledFrom([]string{"", "data: par", "data: par\n", "data: par\r\n"}).Draw(t, "rest"))
		s := &eventSplitter{buffer: make([]byte, 0, 16)}
		body := randomReader{t, iotest.DataErrReader(&stream)}
		for _, w := range wanted {
			got, err := s.next(body)
			if err != nil || string(got) != w {
				t.Fatalf("got %q, %v; want %q", got, err, w)
			}
		}
		if got, err := s.next(body); err != io.EOF {
			t.Fatalf("got %q, %v after the last event", got, err)
		}
	})
}
