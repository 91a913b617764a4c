package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// callOnConnection sends a request over an open connection and returns its response.
func callOnConnection(c net.Conn, reader *bufio.Reader, body string) (*http.Response, error) {
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(reader, nil)
}

var _ = ginkgo.Describe("graceful stop", func() {
	// Guards against the close of a connection that the caller reuses: its last
	// response began before the stop and thus without Connection: close.
	ginkgo.It("serves the request that follows a long stream on its connection", func() {
		d := newDeployment()
		d.configure()
		daemon := d.startDaemon("r1")
		gomega.Eventually(func() int {
			response, _ := call(daemon, "/services/orders/stock", "{}")
			return response.StatusCode
		}, testTimeout).Should(gomega.Equal(http.StatusOK))
		caller, _, _ := daemon.Addresses()
		c, err := net.DialTimeout("tcp", caller, testTimeout)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		gomega.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
		reader := bufio.NewReader(c)

		stream, err := callOnConnection(c, reader, strings.Replace(streamRequestBody, `"max_tokens":8`, `"max_tokens":400`, 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		d.stopSignals[0] <- struct{}{}
		_, err = io.Copy(io.Discard, stream.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(stream.Trailer.Get("Monsoondeck-Outcome")).To(gomega.Equal("complete"))

		next, err := callOnConnection(c, reader, streamRequestBody)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(next.StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(next.Close).To(gomega.BeTrue(), "the response has Connection: close")
		_, err = io.Copy(io.Discard, next.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
})
