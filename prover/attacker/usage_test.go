package attacker_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the daemon under test. They follow from the limits in its settings.
const (
	memoryBound     = memoryMB << 20
	descriptorBound = descriptorLimit
	// goroutinesPerDescriptor bounds the goroutines for one connection; HTTP server,
	// handler and client use up to four.
	goroutinesPerDescriptor = 4
	goroutineBound          = goroutinesPerDescriptor * descriptorLimit
)

// errorOutput collects what a process writes to standard error.
type errorOutput struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *errorOutput) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func (o *errorOutput) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// collection matches the sizes of the heap that the runtime reports for a collection: at
// its start, at its end, and what is in use.
var collection = regexp.MustCompile(`(?m)^gc \d+ @.* (\d+)->(\d+)->(\d+) MB`)

// largestHeap returns the largest size of the heap in bytes at a collection.
func (o *errorOutput) largestHeap() int64 {
	largest := int64(0)
	for _, m := range collection.FindAllStringSubmatch(o.String(), -1) {
		for _, text := range m[1:] {
			mb, _ := strconv.ParseInt(text, 10, 64) // digits
			largest = max(largest, mb<<20)
		}
	}
	return largest
}

// goroutineHeader matches the first line of the trace of a goroutine.
var goroutineHeader = regexp.MustCompile(`(?m)^goroutine \d+ .*\[`)

// goroutines ends the process with a trace of all goroutines and returns their number.
func (h *host) goroutines() int {
	if h.process.Alive() {
		_ = syscall.Kill(h.process.ID(), syscall.SIGQUIT) // fails if the process has just ended
	}
	select {
	case <-h.process.Done():
	case <-time.After(readyTimeout):
		h.process.Kill()
	}
	return len(goroutineHeader.FindAllString(h.errorOutput.String(), -1))
}

// usage is what a process holds.
type usage struct {
	// resident is its resident memory, unread what the kernel holds for its connections:
	// received bytes that it has not read, and sent ones that are not acknowledged.
	resident, unread int64
	descriptors      int
}

// monitor records the largest usage of a host until it is stopped.
type monitor struct {
	host *host
	stop chan struct{}
	done chan struct{}

	// mutex guards the fields below.
	mutex sync.Mutex
	// peak holds the largest value of each field, memory that of the sum of resident and
	// unread.
	peak   usage
	memory int64
}

const samplingInterval = 20 * time.Millisecond

func startMonitor(h *host) *monitor {
	m := &monitor{host: h, stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *monitor) run() {
	defer close(m.done)
	t := time.NewTicker(samplingInterval)
	defer t.Stop()
	for {
		m.sample()
		select {
		case <-m.stop:
			return
		case <-t.C:
		}
	}
}

// sample records the usage at this moment.
func (m *monitor) sample() {
	u := m.host.usage()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.peak.resident, m.peak.unread = max(m.peak.resident, u.resident), max(m.peak.unread, u.unread)
	m.peak.descriptors = max(m.peak.descriptors, u.descriptors)
	m.memory = max(m.memory, u.resident+u.unread)
}

// end stops the monitor.
func (m *monitor) end() {
	close(m.stop)
	<-m.done
}

// usage reads what the process holds now; a process that has ended holds nothing.
func (h *host) usage() usage {
	var u usage
	directory := fmt.Sprintf("/proc/%d/", h.process.ID())
	if statm, err := os.ReadFile(directory + "statm"); err == nil {
		if fields := strings.Fields(string(statm)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64) // digits
			u.resident = pages * int64(os.Getpagesize())
		}
	}
	if entries, err := os.ReadDir(directory + "fd"); err == nil {
		u.descriptors = len(entries)
	}
	u.unread = h.unread()
	return u
}

// unread returns the bytes that the kernel holds for the connections of the daemon.
func (h *host) unread() int64 {
	local, remote := map[string]bool{}, map[string]bool{}
	for _, a := range h.addresses {
		local[hexPort(a)] = true
	}
	for _, a := range h.targets {
		remote[hexPort(a)] = true
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	return unreadIn(string(table), local, remote)
}

// States of connections in /proc/net/tcp that hold no data. The queues of a listener count
// connections. The receive queue of one that is being opened is for a moment the first sequence
// number of its peer, any number below 2^31.
const (
	tcpSynSent = "02"
	tcpListen  = "0A"
)

// unreadIn returns the bytes in the queues of the connections with one of the local or remote
// ports in a table like /proc/net/tcp.
func unreadIn(table string, local, remote map[string]bool) int64 {
	total := int64(0)
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == tcpListen || fields[3] == tcpSynSent {
			continue
		}
		if _, port, _ := strings.Cut(fields[1], ":"); !local[port] {
			if _, port, _ = strings.Cut(fields[2], ":"); !remote[port] {
				continue
			}
		}
		for text := range strings.SplitSeq(fields[4], ":") {
			n, _ := strconv.ParseInt(text, 16, 64) // hexadecimal digits
			total += n
		}
	}
	return total
}

// hexPort returns the port of an address as /proc/net/tcp writes it.
func hexPort(address string) string {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return fmt.Sprintf("%04X", port)
}
