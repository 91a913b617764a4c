// Largebodies shows that chunked request bodies within max-body-bytes make the daemons
// exceed their memory limit. Exit codes: 0 the rule held, 1 it was broken, 2 the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/review/harness"
)

const (
	host     = "boek.example"
	memoryMB = 134     // limits.memory-mb of the site aambeeld-boek
	maxBody  = 4194304 // max-body-bytes
	usual    = 12000   // the usual body of a course plan
	daemons  = 3
	// maxEnds is the number of ends by itself from which a machine counts, minMachines the
	// number of machines that break the rule: a tenth of those in use, two at least.
	maxEnds, minMachines = 3, 2
	// Requests a second over all daemons: those of the other tenants, and those of one
	// tenant with large bodies, usually and while it sends many times its usual.
	plansPerSecond, seatsPerSecond = 6, 10
	usualPerSecond, floodPerSecond = 2, 17
	floodTime, floodPause          = 9 * time.Second, 4 * time.Second
)

var route = map[string]any{"hostname": host, "priority": 1, "anonymous": false}

func routeOf(extra map[string]any) map[string]any {
	r := map[string]any{}
	for _, m := range []map[string]any{route, extra} {
		for k, v := range m {
			r[k] = v
		}
	}
	return r
}

func config() map[string]any {
	var tenants []any
	for i := range 16 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("forge%d", i), "api-keys": []string{key(i)}, "priority": 1})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			routeOf(map[string]any{"name": "plan", "prefix": "/plan/", "route-kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1200, "service": "llm", "max-attempts": 1, "session-affinity": true, "stream-resumption": false, "gap-target-ms": 600}),
			routeOf(map[string]any{"name": "seat", "prefix": "/seat/", "route-kind": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 300, "service": "app", "max-attempts": 1}),
		},
		"services": []any{
			map[string]any{"name": "llm", "health-check-path": "/healthz", "connection-limit": 370, "inference-engine": map[string]any{"capacity-slots": 64, "kv-capacity-tokens": 380443, "step-size": 7}},
			map[string]any{"name": "app", "health-check-path": "/healthz", "connection-limit": 110},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "throughput-per-s": 190000},
		"tenants": tenants,
	}
}

func key(i int) string { return fmt.Sprintf("key%04d", i) }

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("daemon", "", "path of monsoongate")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "let one tenant send many times its usual")
	chunked := flag.Bool("chunked", true, "send the bodies of the hot tenant in chunks")
	limit := flag.Duration("for", 80*time.Second, "how long traffic is sent at most")
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
	var servers []*harness.Server
	for i := range 6 {
		o := harness.ServerOptions{ID: fmt.Sprintf("i-%d", i), Service: "llm", Zone: zone(i), Slots: 64, Work: 200 * time.Millisecond, Events: 55, Pause: 120 * time.Millisecond}
		if i >= 4 {
			o = harness.ServerOptions{ID: o.ID, Service: "app", Zone: o.Zone, Slots: 6, Work: 60 * time.Millisecond}
		}
		s, err := harness.StartServer(o, store)
		if err != nil {
			return 2
		}
		servers = append(servers, s)
	}
	var all []*harness.Daemon
	for i := range daemons {
		d, err := harness.NewDaemon(fmt.Sprintf("frontend-%d", i+1), zone(i), *program, folder, l.Addr().String(), memoryMB, record)
		if err != nil {
			return 2
		}
		if err := d.Start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
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
	time.Sleep(3 * time.Second) // until all machines are in touch
	t := &traffic{daemons: all, record: record, ran: servers, end: time.Now().Add(*limit)}
	t.start("plan", plansPerSecond, func(n int64) harness.Request { return plan(n, int(n%15)+1, usual, n%2 == 0) })
	t.start("seat", seatsPerSecond, func(n int64) harness.Request {
		return harness.Request{Host: host, Path: fmt.Sprintf("/seat/%d", n), Key: key(int(n % 16)), Deadline: 1500 * time.Millisecond, Body: make([]byte, 600)}
	})
	large := func(n int64) harness.Request { return plan(n, 0, maxBody, *chunked) }
	t.start("hot", usualPerSecond, large)
	if *trouble {
		t.startFloods(large)
	}
	for time.Now().Before(t.end) && t.overLimit() < minMachines {
		time.Sleep(100 * time.Millisecond)
	}
	t.stop.Store(true)
	broken := t.overLimit() >= minMachines
	for _, d := range all {
		ends, peak := d.Ends()
		record.Add("daemon %s: ended by itself %d times, at most %d MB of %d MB", d.Name, len(ends), peak, memoryMB)
		fmt.Printf("%s: ended by itself %d times, at most %d MB of %d MB\n", d.Name, len(ends), peak, memoryMB)
	}
	t.group.Wait()
	t.report()
	if broken {
		fmt.Println("broken: Fault")
		return 1
	}
	fmt.Println("held")
	return 0
}

func zone(i int) string { return []string{"be-midden-a", "be-midden-b", "be-midden-c"}[i%3] }

func plan(n int64, tenant, size int, chunked bool) harness.Request {
	return harness.Request{
		Host: host, Path: fmt.Sprintf("/plan/%d", n), Key: key(tenant), Deadline: 12 * time.Second, Body: make([]byte, size), Chunked: chunked,
		Header: map[string]string{"X-Model-Name": "m", "X-Token-Usage": "1460,400", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 0xe4400000+n)},
	}
}

// traffic sends requests to the daemons in turn, as the platform's addresses do.
type traffic struct {
	daemons []*harness.Daemon
	record  *harness.Record
	ran     []*harness.Server
	end     time.Time
	stop    atomic.Bool
	next    atomic.Int64
	group   sync.WaitGroup

	mutex   sync.Mutex
	answers []harness.Answer
}

// overLimit returns the number of machines whose process ended by itself maxEnds times.
func (t *traffic) overLimit() int {
	n := 0
	for _, d := range t.daemons {
		if ends, _ := d.Ends(); len(ends) >= maxEnds {
			n++
		}
	}
	return n
}

// startFloods sends floodPerSecond requests for floodTime, again and again.
func (t *traffic) startFloods(request func(n int64) harness.Request) {
	begin := time.Now()
	t.startDuring("flood", floodPerSecond-usualPerSecond, request, func() bool {
		return time.Since(begin)%(floodTime+floodPause) < floodTime
	})
}

func (t *traffic) start(kind string, perSecond int, request func(n int64) harness.Request) {
	t.startDuring(kind, perSecond, request, func() bool { return true })
}

// startDuring sends requests while active reports true.
func (t *traffic) startDuring(kind string, perSecond int, request func(n int64) harness.Request, active func() bool) {
	clients := make([]*http.Client, len(t.daemons))
	for i := range clients {
		clients[i] = harness.NewClient()
	}
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for time.Now().Before(t.end) && !t.stop.Load() {
			<-tick.C
			if !active() {
				continue
			}
			n := t.next.Add(1)
			q := request(n)
			q.ID = fmt.Sprintf("%s-%d", kind, n)
			i := int(n) % len(t.daemons)
			t.group.Add(1)
			go func() {
				defer t.group.Done()
				a := harness.Send(clients[i], t.daemons[i].Front, q)
				t.mutex.Lock()
				defer t.mutex.Unlock()
				t.answers = append(t.answers, a)
				t.record.Add("request %s to %s, %d bytes, chunked %t, kept connection %t: status %d, %s, error %v",
					q.ID, t.daemons[i].Name, len(q.Body), q.Chunked, a.Kept, a.Status, describe(a), a.Err)
			}()
		}
	}()
}

// report records what the servers ran, and counts the requests that a daemon read, passed
// on and left without a complete answer.
func (t *traffic) report() {
	ran := map[string]harness.Run{}
	for _, s := range t.ran {
		for _, r := range s.Runs() {
			ran[r.Attempt] = r
			t.record.Add("server %s ran %s of %s, %d bytes, complete %t", r.Server, r.Attempt, r.Tenant, r.Bytes, r.Complete)
		}
	}
	status, lost, lostKept := map[int]int{}, 0, 0
	for _, a := range t.answers {
		status[a.Status]++
		if _, passed := ran[a.ID]; passed && a.Err != nil {
			lost++
			if a.Kept {
				lostKept++
			}
		}
	}
	line := fmt.Sprintf("%d requests; by status %v; passed on to a sound server and left without a complete answer: %d, of them on kept connections: %d", len(t.answers), status, lost, lostKept)
	t.record.Add("%s", line)
	fmt.Println(line)
}

// describe returns the text of a refusal, or the length of another answer.
func describe(a harness.Answer) string {
	if a.Status == http.StatusServiceUnavailable {
		return a.Body
	}
	return fmt.Sprintf("%d bytes", len(a.Body))
}
