package attacker_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// answerTimeout is the time within which an ordinary request must be answered while
	// the connections of the crowd are open; a refused one is repeated. It is many times
	// what a daemon needs to get rid of them.
	answerTimeout = 20 * time.Second
	// attemptTimeout limits one attempt of such a request.
	attemptTimeout = 3 * time.Second
)

// row is one combination of a crowd and a listener.
type row struct {
	name string
	// listener is the listener that the crowd attacks, path the path of its requests.
	listener, path string
	size           int
	do             attack
	// respond is how the faulty target responds; nil sends a short response.
	respond respondFunc
	// before is the result on the code before the first change for hostile clients; for rows
	// that were added later, on the code before the changes for them.
	before result
}

// result is whether a row held.
type result string

const (
	failed result = "failed"
	// variable rows failed in some runs: they exceeded the bound of the memory unless the
	// daemon refused part of the crowd because its processors were busy.
	variable result = "failed in some runs"
	held     result = "held"
)

// Sizes of the crowds.
const (
	// manyConnections is more than the daemon may have descriptors.
	manyConnections = descriptorLimit + 100
	// manyBodies exceeds the memory of the daemon with the largest allowed bodies.
	manyBodies = 2 * memoryMB
	// manyHeaders is the number of connections that send long headers.
	manyHeaders = 500
	// manyPipelines is the number of connections that pipeline requests.
	manyPipelines = 500
	// manyReaders is the number of connections that wait for responses of targets.
	manyReaders = 250
	// longBodies is the number of connections that send bodies over the limit.
	longBodies = 150
	// repeatingClients is the number of clients that send one body after the other. They
	// are few, so that the daemon does not refuse them because it is busy.
	repeatingClients = 25
)

var (
	stopBeforeEnd = either(stopBeforeEndWithLength, stopBeforeEndChunked)
	exceed        = either(exceedWithLength, exceedChunked)
)

var rows = []row{
	{"callers with a route: short bodies that stop before their end", callers, plainPath, manyConnections, stopBeforeEndOfShortBody, nil, failed},
	{"callers with a route: bodies with a length that stop before their end", callers, plainPath, manyBodies, stopBeforeEndWithLength, nil, held},
	{"callers with a route: chunked bodies that stop before their end", callers, plainPath, manyBodies, stopBeforeEndChunked, nil, failed},
	{"callers with a route: bodies with a length over the limit", callers, plainPath, longBodies, exceedWithLength, nil, held},
	{"callers with a route: chunked bodies over the limit", callers, plainPath, longBodies, exceedChunked, nil, variable},
	{"callers with a route: chunked bodies over the limit, one after the other", callers, plainPath, repeatingClients, exceedRepeatedly, nil, failed},
	{"callers with a route: very many short header fields", callers, plainPath, manyHeaders, sendManyFields, nil, failed},
	{"callers with a route: pipelined requests without reading", callers, plainPath, manyPipelines, pipeline, nil, held},
	{"callers with a route: slow senders", callers, plainPath, manyConnections, sendSlowly, nil, held},
	{"callers with a route: stopped readers of long responses", callers, bulkPath, manyReaders, readNothing, respondLong, failed},
	{"callers with a route: slow readers of streams", callers, streamPath, manyReaders, readSlowly, respondEvents, failed},

	{"callers without a route: short bodies that stop before their end", callers, unknownPath, manyConnections, stopBeforeEndOfShortBody, nil, failed},
	{"callers without a route: bodies that stop before their end", callers, unknownPath, manyBodies, stopBeforeEnd, nil, held},
	{"callers without a route: bodies over the limit", callers, unknownPath, longBodies, exceed, nil, held},
	{"callers without a route: very many short header fields", callers, unknownPath, manyHeaders, sendManyFields, nil, failed},
	{"callers without a route: pipelined requests without reading", callers, unknownPath, manyPipelines, pipeline, nil, held},
	{"callers without a route: slow senders", callers, unknownPath, manyConnections, sendSlowly, nil, held},
	{"callers without a route: stopped readers", callers, unknownPath, manyConnections, readNothing, nil, held},

	{"health checks: short bodies that stop before their end", health, "/readiness", manyConnections, stopBeforeEndOfShortBody, nil, failed},
	{"health checks: bodies that stop before their end", health, "/readiness", manyConnections, stopBeforeEnd, nil, held},
	{"health checks: bodies over the limit", health, "/readiness", longBodies, exceed, nil, held},
	{"health checks: very many short header fields", health, "/readiness", manyHeaders, sendManyFields, nil, variable},
	{"health checks: pipelined requests without reading", health, "/readiness", manyPipelines, pipeline, nil, held},
	{"health checks: slow senders", health, "/readiness", manyConnections, sendSlowly, nil, failed},
	{"health checks: stopped readers", health, "/readiness", manyConnections, readNothing, nil, failed},

	{"metrics: short bodies that stop before their end", metrics, "/metrics", manyConnections, stopBeforeEndOfShortBody, nil, failed},
	{"metrics: bodies that stop before their end", metrics, "/metrics", manyConnections, stopBeforeEnd, nil, variable},
	{"metrics: bodies over the limit", metrics, "/metrics", longBodies, exceed, nil, held},
	{"metrics: very many short header fields", metrics, "/metrics", manyHeaders, sendManyFields, nil, failed},
	{"metrics: pipelined requests without reading", metrics, "/metrics", manyPipelines, pipeline, nil, variable},
	{"metrics: slow senders", metrics, "/metrics", manyConnections, sendSlowly, nil, failed},
	{"metrics: stopped readers", metrics, "/metrics", manyConnections, readNothing, nil, failed},

	{"peers: short bodies that stop before their end", peers, "/peer", manyConnections, stopBeforeEndOfShortBody, nil, failed},
	{"peers: bodies that stop before their end", peers, "/peer", manyConnections, stopBeforeEnd, nil, held},
	{"peers: bodies over the limit", peers, "/peer", longBodies, exceed, nil, held},
	{"peers: very many short header fields", peers, "/peer", manyHeaders, sendManyFields, nil, failed},
	{"peers: pipelined requests without reading", peers, "/other", manyPipelines, pipeline, nil, held},
	{"peers: slow senders", peers, "/peer", manyConnections, sendSlowly, nil, failed},
	{"peers: stopped readers", peers, "/other", manyConnections, readNothing, nil, failed},
	{"peers: WebSocket connections that stop in the handshake", peers, "/peer", manyConnections, stopAfterUpgrade, nil, failed},

	{"responses of targets: endless bodies", callers, bulkPath, manyReaders, readAll, respondEndlessBody, held},
	{"responses of targets: endless header fields", callers, bulkPath, manyReaders, readAll, respondEndlessField, held},
	{"responses of targets: very many short header fields", callers, bulkPath, manyReaders, readAll, respondManyFields, failed},
	{"responses of targets: bodies that stop before their end", callers, bulkPath, manyReaders, readAll, respondStopped, held},
	{"responses of targets: long bodies", callers, bulkPath, manyReaders, readAll, respondLong, held},
	{"responses of targets: endless events", callers, streamPath, manyReaders, readAll, respondLongEvent, variable},
	{"responses of targets: endless comments", callers, streamPath, manyReaders, readAll, respondComments, failed},
	{"responses of targets: bodies with a large length", callers, bulkPath, manyReaders, readAll, respondEndlessBodyWithLength, held},
	{"responses of targets: endless chunks", callers, bulkPath, manyReaders, readAll, respondEndlessChunks, held},
	{"responses of targets: endless chunk sizes", callers, bulkPath, manyReaders, readAll, respondEndlessChunkSize, held},
	{"responses of targets: endless chunk extensions", callers, bulkPath, manyReaders, readAll, respondEndlessChunkExtension, held},
	{"responses of targets: endless trailers", callers, bulkPath, manyReaders, readAll, respondEndlessTrailers, held},
	{"responses of targets: endless trailers of streams", callers, streamPath, manyReaders, readAll, respondEndlessTrailers, held},
	{"responses of targets: endless errors", callers, bulkPath, manyReaders, readAll, respondEndlessError, held},
	{"responses of targets: endless refusals", callers, bulkPath, manyReaders, readAll, respondEndlessRefusal, held},
	{"responses of targets: endless responses of another target", callers, bulkPath, manyReaders, readAll, respondEndlessMisdirection, held},
	{"responses of targets: endless responses to another request", callers, bulkPath, manyReaders, readAll, respondEndlessForeign, held},
	{"responses of targets: bytes after a complete response", callers, bulkPath, manyReaders, readAll, respondShortAndEndless, held},
	{"responses of targets: bytes without a line", callers, bulkPath, manyReaders, readAll, respondEndlessBytes, held},
	{"responses of targets: empty lines", callers, bulkPath, manyReaders, readAll, respondEndlessEmptyLines, held},
	{"responses of targets: informational responses without end", callers, bulkPath, manyReaders, readAll, respondEndlessInformational, held},
	{"responses of targets: very many header fields without end", callers, bulkPath, manyReaders, readAll, respondEndlessFields, held},
	{"responses of targets: endless responses to health checks", callers, bulkPath, manyReaders, readAll, respondEndlessHealth, held},
}

var _ = ginkgo.Describe("a daemon", func() {
	for _, r := range rows {
		ginkgo.It("survives "+r.name, func() { survive(r) })
	}
})

// Guards against clients and targets that end or hang a daemon, or make it exceed the
// limits in its settings.
func survive(r row) {
	if r.respond == nil {
		r.respond = respondShort
	}
	h := startHost(r.respond)
	m := startMonitor(h)
	all := startCrowd(h.addresses[r.listener], r.path, r.size, r.do)
	defer all.close()
	m.sample()
	questions := map[string]func(time.Duration) error{callers: h.askCallers}
	switch r.listener {
	case health:
		questions[r.listener] = h.askHealth
	case metrics:
		questions[r.listener] = h.askMetrics
	case peers:
		questions[r.listener] = h.askPeers
	}
	unanswered := map[string]error{}
	end := time.Now().Add(answerTimeout)
	for listener, question := range questions {
		err := question(attemptTimeout)
		for err != nil && h.process.Alive() && time.Now().Before(end) {
			time.Sleep(pollInterval)
			err = question(attemptTimeout)
		}
		if err != nil {
			unanswered[listener] = err
		}
	}
	m.sample()
	alive := h.process.Alive()
	m.end()
	goroutines := h.goroutines()
	heap := h.errorOutput.largestHeap()
	const mb = 1 << 20
	ginkgo.GinkgoWriter.Printf("before the first change: %s\n", r.before)
	ginkgo.GinkgoWriter.Printf("memory %d MB (resident %d MB, in the kernel %d MB), heap %d MB, descriptors %d, goroutines %d, alive %t, unanswered %v\n",
		m.memory/mb, m.peak.resident/mb, m.peak.unread/mb, heap/mb, m.peak.descriptors, goroutines, alive, unanswered)

	gomega.Expect(alive).To(gomega.BeTrue(), "the daemon ended: %s", h.errorOutput)
	check := func(what string, value, bound int64) {
		ginkgo.GinkgoHelper()
		if value > bound {
			ginkgo.GinkgoWriter.Printf("over its bound: %s\n", what)
		}
		gomega.Expect(value).To(gomega.BeNumerically("<=", bound), what)
	}
	check("memory of the process and of its connections in the kernel", m.memory, memoryBound)
	check("heap", heap, memoryBound)
	check("descriptors", int64(m.peak.descriptors), descriptorBound)
	check("goroutines", int64(goroutines), goroutineBound)
	gomega.Expect(goroutines).To(gomega.BeNumerically(">", 0), "the process wrote no trace")
	gomega.Expect(unanswered).To(gomega.BeEmpty(), "ordinary requests were not answered")
}
