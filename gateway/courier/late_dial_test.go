package courier

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// Load: a host without processor time while it opens a connection. Guards against requests
// that are refused because healthy targets count as unreachable: the timeout of the dialer
// includes the time before the host itself gets to connect.
func TestTimeWithoutProcessorIsNotSilenceOfTheHostOfATarget(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, closeClient := New()
	defer closeClient()
	setOptions := c.dialer.ControlContext
	c.dialer.ControlContext = func(ctx context.Context, network, address string, raw syscall.RawConn) error {
		time.Sleep(dialTimeout + 50*time.Millisecond) // no processor until now
		return setOptions(ctx, network, address, raw)
	}
	if err := c.Probe(t.Context(), Target{ID: "t", Address: l.Addr().String()}); err != nil {
		t.Errorf("a target that accepts connections: %v", err)
	}
}
