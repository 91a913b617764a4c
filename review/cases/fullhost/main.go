// Fullhost shows that a daemon which says it is ready closes every new connection unread
// for seconds, while callers keep the connections open that they have used. Exit codes: 0
// the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"monsoondeck.example/review/harness"
)

const (
	host     = "boek.example"
	memoryMB = 134
	daemons  = 3
	// connectivity is connectivity-ms, minClients the number of clients that must have tried.
	connectivity = 3 * time.Second
	minClients   = 7
	// keep is how long a client keeps an idle connection for reuse: four fifths of
	// idle-timeout-ms.
	idleTimeout = 15 * time.Second
	keep        = idleTimeout * 4 / 5
	// usualPerSecond and floodPerSecond are the requests of the hot tenant, each of a user of
	// its own, whose addresses the platform maps to one machine.
	usualPerSecond, floodPerSecond = 28, 249
	floodTime                      = 9 * time.Second
	// clients of other tenants open a new connection each clientPause.
	clients     = 10
	clientPause = 300 * time.Millisecond
	deadline    = 1500 * time.Millisecond
)

func config() map[string]any {
	return map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "roster", "hostname": host, "prefix": "/roster/", "route-kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "service": "app", "max-attempts": 2, "anonymous": false}},
		"services": []any{map[string]any{"name": "app", "health-check-path": "/healthz", "connection-limit": 110}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeout.Milliseconds(), "throughput-per-s": 190000},
		"tenants":  []any{map[string]any{"name": "hot", "api-keys": []string{"hot"}}, map[string]any{"name": "other", "api-keys": []string{"other"}}},
	}
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("daemon", "", "path of monsoongate")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "let one tenant send many times its usual")
	flag.Parse()
	record, err := harness.NewRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store := harness.NewStore()
	store.Put("op", "config", config())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 2
	}
	go func() { _ = http.Serve(l, store) }()
	for i := range 4 {
		if _, err := harness.StartServer(harness.ServerOptions{ID: fmt.Sprintf("i-%d", i), Service: "app", Zone: "be-midden-a", Slots: 6, Work: 60 * time.Millisecond}, store); err != nil {
			return 2
		}
	}
	var all []*harness.Daemon
	for i := range daemons {
		d, err := harness.NewDaemon(fmt.Sprintf("frontend-%d", i+1), "be-midden-a", *program, folder, l.Addr().String(), memoryMB, record)
		if err != nil || d.Start() != nil {
			return 2
		}
		defer d.Stop()
		all = append(all, d)
	}
	for _, d := range all {
		if !d.AwaitReady(10 * time.Second) {
			fmt.Fprintln(os.Stderr, d.Name, "is not ready")
			return 2
		}
	}
	time.Sleep(connectivity) // until all machines are in touch
	w := &watch{daemon: all[0], record: record, stop: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(w.checkReady)
	for i := range clients {
		group.Go(func() { w.runClient(i) })
	}
	time.Sleep(2 * time.Second)
	rate := usualPerSecond
	if *trouble {
		rate = floodPerSecond
	}
	w.sendHot(rate, floodTime)
	w.sendHot(usualPerSecond, idleTimeout)
	close(w.stop)
	group.Wait()
	return w.judge()
}

// event is one try of a client, or one readiness check.
type event struct {
	at time.Time
	// client is the number of the client; -1 for a readiness check.
	client int
	// ok is set if the try got an answer, whatever its status, or the check a 200.
	ok bool
}

// watch observes one daemon.
type watch struct {
	daemon *harness.Daemon
	record *harness.Record
	stop   chan struct{}

	mutex  sync.Mutex
	events []event
	// hot counts the requests of the hot tenant.
	hot struct{ answered, unread int }
}

func (w *watch) add(client int, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events = append(w.events, event{time.Now(), client, ok})
}

// checkReady asks for readiness once a second, as the platform does.
func (w *watch) checkReady() {
	for {
		ok := w.daemon.IsReady()
		w.record.Add("readiness of %s: %t", w.daemon.Name, ok)
		w.add(-1, ok)
		select {
		case <-w.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// runClient sends a request on a new connection each clientPause.
func (w *watch) runClient(number int) {
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(clientPause):
		}
		id := fmt.Sprintf("other-%d-%d", number, n)
		c, status, err := ask(w.daemon.Front, id, "other")
		w.record.Add("request %s on a new connection: status %d, error %v", id, status, err)
		w.add(number, err == nil)
		if c != nil {
			_ = c.Close()
		}
	}
}

// sendHot sends requests of the hot tenant. Each user keeps its connection for reuse.
func (w *watch) sendHot(perSecond int, d time.Duration) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		<-tick.C
		go func() {
			id := fmt.Sprintf("hot-%d-%d", perSecond, n)
			c, status, err := ask(w.daemon.Front, id, "hot")
			w.record.Add("request %s on a new connection: status %d, error %v", id, status, err)
			w.mutex.Lock()
			if err == nil {
				w.hot.answered++
			} else {
				w.hot.unread++
			}
			w.mutex.Unlock()
			if c != nil {
				time.Sleep(keep)
				_ = c.Close()
			}
		}()
	}
}

// ask sends a request on a new connection and reads the answer. It returns the connection
// if the answer leaves it open.
func ask(address, id, key string) (net.Conn, int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, 0, err
	}
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err = fmt.Fprintf(c, "GET /roster/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n\r\n", id, host, id, deadline.Milliseconds(), key)
	if err == nil {
		var r *http.Response
		if r, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			if err == nil && !r.Close {
				return c, r.StatusCode, nil
			}
			_ = c.Close()
			return nil, r.StatusCode, err
		}
	}
	_ = c.Close()
	return nil, 0, err
}

// judge looks for a time of connectivity in which minClients clients or more tried a new
// connection, none got an answer, and the daemon said that it is ready.
func (w *watch) judge() int {
	var longest time.Duration
	var since time.Time
	tried := map[int]bool{}
	for _, e := range w.events {
		switch {
		case e.client < 0 && e.ok:
		case e.ok || e.client < 0: // an answer, or not ready
			since, tried = time.Time{}, map[int]bool{}
		default:
			if since.IsZero() {
				since = e.at
			}
			if tried[e.client] = true; len(tried) >= minClients {
				longest = max(longest, e.at.Sub(since))
			}
		}
	}
	line := fmt.Sprintf("hot tenant: %d answered, %d closed without an answer; %s took no new connection for %.1f s while it said that it is ready", w.hot.answered, w.hot.unread, w.daemon.Name, longest.Seconds())
	w.record.Add("%s", line)
	fmt.Println(line)
	if longest >= connectivity {
		fmt.Println("broken: RECOVER")
		return 1
	}
	fmt.Println("held")
	return 0
}
