package launcher

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports of daemons lie below the range from which Linux takes the ports of
// outgoing connections: a port of that range can be taken while a daemon is
// down.
const (
	firstPort = 12000
	lastPort  = 32000
	// portAttempts bounds the search on a machine with many listeners.
	portAttempts = 1000
)

// FreeAddresses returns loopback addresses that were free a moment ago.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range portAttempts {
		if len(out) == n {
			return out, nil
		}
		// Runs at the same time must not choose the same ports, so the choice does
		// not depend on the seed of the run.
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return nil, errors.Wrapf(ErrStart, "%d of %d ports are free", len(out), n)
}
