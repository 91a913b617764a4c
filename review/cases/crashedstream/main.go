// Crashedstream shows that a stream is ended as complete although its server was killed in
// the middle of it. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoondeck.example/review/harness"
)

const (
	host     = "boek.example"
	memoryMB = 134
	daemons  = 3
	engines  = 4 // one of them, a quarter, crashes: the largest share on the site
	events   = 55
	pause    = 60 * time.Millisecond
	// crashes is the number of crashes, one each crashGap; a server is down for downTime.
	crashes            = 3
	crashGap, downTime = 8 * time.Second, 2 * time.Second
	plansPerSecond     = 8
	lapse              = 3600 * time.Millisecond // three heartbeat intervals
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "serve" {
		serve(os.Args[2])
		return
	}
	os.Exit(run())
}

// serve is the process of one server. It writes a line for each request that it runs and
// for each stream that it has completed. Its answers have neither a length nor chunks, and
// end with their connection.
func serve(id string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(2)
	}
	fmt.Println("address", l.Addr())
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		if r.Header.Get("X-Expect-Instance") != id {
			w.Header().Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fmt.Println("run", attempt)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(100 * time.Millisecond)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\n\r\n", attempt, id, attempt)
		for i := range events {
			if i > 0 {
				time.Sleep(pause)
			}
			// A whole event, and the head with the first one, in one write.
			if _, err := io.WriteString(c, answer+event(attempt, i+1)); err != nil {
				return
			}
			answer = ""
		}
		fmt.Println("done", attempt)
	}))
}

func event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// engine is a server process with its entry in the store.
type engine struct {
	name   string
	store  *harness.Store
	record *harness.Record

	mutex   sync.Mutex
	starts  int
	process *exec.Cmd
	ran     map[string]string // ID of the server by attempt
	done    map[string]bool
}

func (e *engine) start() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.starts++
	id := fmt.Sprintf("%s-%d", e.name, e.starts)
	c := exec.Command(os.Args[0], "serve", id)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	e.process = c
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("%s does not start", id)
	}
	address := strings.TrimPrefix(lines.Text(), "address ")
	ended := make(chan struct{})
	go func() {
		for lines.Scan() {
			kind, attempt, _ := strings.Cut(lines.Text(), " ")
			e.record.Add("server %s: %s %s", id, kind, attempt)
			e.mutex.Lock()
			if kind == "run" {
				e.ran[attempt] = id
			} else {
				e.done[attempt] = true
			}
			e.mutex.Unlock()
		}
		_ = c.Wait()
		close(ended)
	}()
	go e.beat(id, address, ended)
	return nil
}

// beat keeps the entry of the server in the store until it has been silent for lapse.
func (e *engine) beat(id, address string, ended <-chan struct{}) {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		e.store.Put("servers", id, map[string]any{
			"service": "llm", "address": address, "availability-zone": "be-midden-a", "version": "v1", "capacity-slots": 64,
			"lifecycle-state": "ready", "cold-remaining-ms": 0, "sequence-number": n, "born": born,
		})
		select {
		case <-ended:
			time.Sleep(lapse)
			e.store.Delete("servers", id)
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) kill() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.process.Process.Kill()
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "plan", "hostname": host, "prefix": "/plan/", "route-kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1200, "priority": 1,
			"service": "llm", "max-attempts": 1, "anonymous": false, "session-affinity": true, "stream-resumption": false, "gap-target-ms": 600,
		}},
		"services": []any{map[string]any{"name": "llm", "health-check-path": "/healthz", "connection-limit": 370, "inference-engine": map[string]any{"capacity-slots": 64, "kv-capacity-tokens": 380443, "step-size": 7}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "throughput-per-s": 190000},
		"tenants":  []any{map[string]any{"name": "forge", "api-keys": []string{"key"}, "priority": 1}},
	}
}

func run() int {
	program := flag.String("daemon", "", "path of monsoongate")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "crash servers")
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
	var servers []*engine
	for i := range engines {
		e := &engine{name: fmt.Sprintf("i-%d", i), store: store, record: record, ran: map[string]string{}, done: map[string]bool{}}
		if err := e.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer e.kill()
		servers = append(servers, e)
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
	time.Sleep(3 * time.Second) // until all machines are in touch
	var group sync.WaitGroup
	group.Go(func() {
		for i := range crashes {
			time.Sleep(crashGap)
			if !*trouble {
				continue
			}
			e := servers[i%len(servers)]
			record.Add("server %s is killed", e.name)
			e.kill()
			time.Sleep(downTime)
			if err := e.start(); err != nil {
				record.Add("server %s does not start again: %v", e.name, err)
			}
		}
	})
	answers := send(all, record)
	group.Wait()
	return judge(answers, servers, record)
}

// send sends streams to the daemons in turn until some time after the last crash.
func send(all []*harness.Daemon, record *harness.Record) []harness.Answer {
	var mutex sync.Mutex
	var answers []harness.Answer
	var group sync.WaitGroup
	client := harness.NewClient()
	end := time.Now().Add((crashes + 1) * crashGap)
	for n := 0; time.Now().Before(end); n++ {
		d := all[n%len(all)]
		q := harness.Request{
			ID: fmt.Sprintf("plan-%d", n), Host: host, Path: fmt.Sprintf("/plan/%d", n), Key: "key", Deadline: 12 * time.Second, Body: make([]byte, 12000),
			Header: map[string]string{"X-Model-Name": "m", "X-Token-Usage": "1460,400", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 0xe4400000+n)},
		}
		group.Go(func() {
			a := harness.Send(client, d.Front, q)
			record.Add("request %s to %s: status %d, %d events, error %v", q.ID, d.Name, a.Status, strings.Count(a.Body, "\n\n"), a.Err)
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(time.Second / plansPerSecond)
	}
	group.Wait()
	return answers
}

// judge counts the streams that ended as complete before their last event. The servers'
// last event is the last one of a run that they have completed.
func judge(answers []harness.Answer, servers []*engine, record *harness.Record) int {
	whole, brokenOff, refused, short := 0, 0, 0, 0
	for _, a := range answers {
		done := false
		for _, e := range servers {
			e.mutex.Lock()
			done = done || e.done[a.ID]
			e.mutex.Unlock()
		}
		n := strings.Count(a.Body, "\n\n")
		switch {
		case a.Status != http.StatusOK:
			refused++
		case a.Err != nil:
			brokenOff++
		case n == events && done:
			whole++
		default:
			short++
			record.Add("BROKEN: stream %s ended as complete after %d of %d events", a.ID, n, events)
		}
	}
	line := fmt.Sprintf("%d streams: %d whole, %d broken off, %d not begun, %d ended as complete before the last event", len(answers), whole, brokenOff, refused, short)
	record.Add("%s", line)
	fmt.Println(line)
	if short > 0 {
		fmt.Println("broken: ORDER")
		return 1
	}
	fmt.Println("held")
	return 0
}
