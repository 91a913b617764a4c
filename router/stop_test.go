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

// connectionCall sends a request over an open connection and returns its answer.
func connectionCall(c net.Conn, reader *bufio.Reader, body string) (*http.Response, error) {
	_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(reader, nil)
}

var _ = ginkgo.Describe("graceful stop", func() {
	// Guards against the close of a connection whose last answer began before
	// the stop and could not announce it: the caller reuses the connection.
	ginkgo.It("answers the request that follows a long stream on its connection", func() {
		d := newDeployment()
		d.configure()
		daemon := d.startDaemon("r1")
		gomega.Eventually(func() int {
			answer, _ := call(daemon, "/services/orders/stock", "{}")
			return answer.StatusCode
		}, patience).Should(gomega.Equal(http.StatusOK))
		caller, _, _ := daemon.Addresses()
		c, err := net.DialTimeout("tcp", caller, patience)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		gomega.Expect(c.SetDeadline(time.Now().Add(patience))).To(gomega.Succeed())
		reader := bufio.NewReader(c)

		stream, err := connectionCall(c, reader, strings.Replace(completion, `"max_tokens":8`, `"max_tokens":400`, 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		d.stops[0] <- struct{}{}
		_, err = io.Copy(io.Discard, stream.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(stream.Trailer.Get("Monsoondeck-Outcome")).To(gomega.Equal("complete"))

		next, err := connectionCall(c, reader, completion)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(next.StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(next.Close).To(gomega.BeTrue(), "the answer announces the close")
		_, err = io.Copy(io.Discard, next.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
})
