package courier

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a whole response that counts as broken on a busy host: it ended before the
// goroutine that had written the request ran again, and the state of the connection is not
// known. One whose request could not be written is broken.
func TestEndOfResponseWaitsForTheEndOfTheRequest(t *testing.T) {
	for _, written := range []bool{true, false} {
		client, server := net.Pipe() // has no socket
		x := &exchange{connection: newConnection(client), writeEnded: make(chan struct{})}
		b := &body{exchange: x, reader: io.NopCloser(strings.NewReader("whole")), endsWithConnection: true}
		go func() {
			time.Sleep(10 * time.Millisecond)
			x.written.Store(written)
			close(x.writeEnded)
		}()
		data, err := io.ReadAll(b)
		if string(data) != "whole" || (err == nil) != written || !written && !errors.Is(err, ErrBroken) {
			t.Errorf("request written %t: body %q, error %v", written, data, err)
		}
		_ = client.Close()
		_ = server.Close()
	}
}
