package attacker_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/platform/wire"
)

// ask sends one request on a connection of its own and returns an error unless the
// response has the status.
func ask(address, request string, status int, timeout time.Duration) error {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout)) // fails only on closed connections
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the status is enough
	if response.StatusCode != status {
		return errors.Newf("status %s", response.Status)
	}
	return nil
}

// ordinaryBody is the size of the body of an ordinary request.
const ordinaryBody = bodyBytes / 8

// askCallers sends an ordinary request of a caller.
func (h *host) askCallers(timeout time.Duration) error {
	body := strings.Repeat("x", ordinaryBody)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: ordinary\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", plainPath, hostName, wire.FieldAttempt, len(body), body)
	return ask(h.addresses[callers], request, http.StatusOK, timeout)
}

func (h *host) askHealth(timeout time.Duration) error {
	return ask(h.addresses[health], "GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", http.StatusOK, timeout)
}

func (h *host) askMetrics(timeout time.Duration) error {
	return ask(h.addresses[metrics], "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", http.StatusOK, timeout)
}

func (h *host) askPeers(timeout time.Duration) error {
	return ask(h.addresses[peers], "GET /peer HTTP/1.1\r\nHost: h\r\n"+upgradeFields+"\r\n", http.StatusSwitchingProtocols, timeout)
}
