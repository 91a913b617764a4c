package driver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/generator/loader"
)

// QueueRequests opens one connection per call and writes the request. This also
// works while the process is paused, as the kernel queues the connections. The
// returned function reads the replies.
func (f *Fleet) QueueRequests(address string, calls []Call) (read func() []Reply) {
	ginkgo.GinkgoHelper()
	connections := make([]net.Conn, len(calls))
	for i, c := range calls {
		connection, err := net.Dial("tcp", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r, err := c.request(address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Close = true
		gomega.Expect(r.Write(connection)).To(gomega.Succeed())
		gomega.Expect(connection.SetReadDeadline(time.Now().Add(2 * Timeout))).To(gomega.Succeed())
		connections[i] = connection
	}
	return func() []Reply {
		out := make([]Reply, len(calls))
		var group sync.WaitGroup
		for i, c := range calls {
			group.Go(func() { out[i] = readReply(connections[i], c) })
		}
		group.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range out {
			f.replies[r.Call.ID] = append(f.replies[r.Call.ID], r)
		}
		return out
	}
}

func readReply(connection net.Conn, c Call) Reply {
	defer func() { _ = connection.Close() }()
	reply := Reply{Call: c, Outcome: loader.OutcomeUnknown}
	res, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		reply.Err = err
		return reply
	}
	body, err := io.ReadAll(res.Body)
	reply.fill(res, body, err)
	return reply
}

// fill sets the fields that are read from an HTTP response; err is the error of
// reading its body.
func (r *Reply) fill(res *http.Response, body []byte, err error) {
	r.Status, r.Body, r.Err = res.StatusCode, string(body), err
	r.Replayed = res.Header.Get("Monsoondeck-Replayed") != ""
	if stated := res.Trailer.Get("Monsoondeck-Outcome") + res.Header.Get("Monsoondeck-Outcome"); stated != "" && err == nil {
		r.Outcome = loader.Outcome(stated)
	}
	r.Code = errorCode(body)
}
