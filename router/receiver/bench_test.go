package receiver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/router/dispatcher"
	"monsoondeck.example/router/receiver"
)

// roleVariable is the environment variable that selects the role of a process.
// The benchmarks run the target and the client as separate processes, so that the
// processor time and memory measured are the router's alone. Each iteration is a
// complete measurement; run them with -benchtime=1x.
const roleVariable = "RECEIVER_BENCH_ROLE"

func TestMain(m *testing.M) {
	switch role := strings.Fields(os.Getenv(roleVariable)); {
	case len(role) == 0:
		os.Exit(m.Run())
	case role[0] == "target":
		benchTarget()
	default:
		benchClient(role)
	}
}

// benchTarget serves benchTargetHandler until standard input closes.
func benchTarget() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { panic(http.Serve(l, http.HandlerFunc(echoRequestID(benchTargetHandler)))) }()
	fmt.Println(l.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// benchTargetHandler responds to a streaming request with max_tokens events. The
// field temperature of the request sets the milliseconds between two events.
func benchTargetHandler(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Stream      bool
		MaxTokens   int     `json:"max_tokens"`
		Temperature float64 // milliseconds between events
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil || !c.Stream {
		fmt.Fprint(w, `{"choices":[{"message":{"content":"ok"}}]}`)
		return
	}
	tick := time.NewTicker(time.Duration(max(c.Temperature, 0.001) * float64(time.Millisecond)))
	defer tick.Stop()
	for i := range c.MaxTokens {
		streamEvents(w, i, i+1)
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprint(w, streamEnd)
}

// benchClient runs the client that role selects. DIRECT and ROUTER are the addresses
// of the target and the router.
//
// "latency DIRECT ROUTER CALLS" prints the median and the 99th percentile of direct
// calls, then those of calls through the router, in nanoseconds.
//
// "streams ROUTER STREAMS EVENTS MS [hold]" opens streams of EVENTS events that are
// MS milliseconds apart and prints the number of events received. With hold, it first
// prints "open" when all streams are open.
func benchClient(role []string) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 1000
	if role[0] == "latency" {
		n, _ := strconv.Atoi(role[3])
		direct, router := make([]time.Duration, n), make([]time.Duration, n)
		for i := range n {
			direct[i], router[i] = benchCall(role[1], completionRequestBody, nil), benchCall(role[2], completionRequestBody, nil)
		}
		slices.Sort(direct)
		slices.Sort(router)
		fmt.Println(direct[n/2].Nanoseconds(), direct[n*99/100].Nanoseconds(), router[n/2].Nanoseconds(), router[n*99/100].Nanoseconds())
		return
	}
	streams, _ := strconv.Atoi(role[2])
	body := strings.Replace(streamRequestBody, `"max_tokens":5`, `"max_tokens":`+role[3]+`,"temperature":`+role[4], 1)
	var events, open atomic.Int64
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			first := true
			benchCall(role[1], body, func(line string) {
				if strings.HasPrefix(line, "data: {\"id") {
					events.Add(1)
				}
				if first && open.Add(1) == int64(streams) && len(role) > 5 {
					fmt.Println("open")
				}
				first = false
			})
		})
	}
	group.Wait()
	fmt.Println(events.Load())
}

// benchCall sends one request, passes the lines of the response to line and
// returns the duration.
func benchCall(address, body string, line func(string)) time.Duration {
	start := time.Now()
	r, err := http.NewRequest("POST", "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	res, err := http.DefaultClient.Do(r)
	if err != nil || res.StatusCode != 200 {
		panic(fmt.Sprint(res, err))
	}
	s := bufio.NewScanner(res.Body)
	for s.Scan() {
		if line != nil {
			line(s.Text())
		}
	}
	_ = res.Body.Close()
	return time.Since(start)
}

// startProcess starts this test binary in a role and returns the lines it prints.
func startProcess(b *testing.B, args ...string) *bufio.Scanner {
	ctx, cancel := context.WithCancel(context.Background())
	c := exec.CommandContext(ctx, os.Args[0])
	c.Env = append(os.Environ(), roleVariable+"="+strings.Join(args, " "))
	c.Stderr = os.Stderr
	_, err := c.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { cancel(); _ = c.Wait() })
	return bufio.NewScanner(out)
}

func nextLine(b *testing.B, s *bufio.Scanner) string {
	if !s.Scan() {
		b.Fatal("process ended early")
	}
	return s.Text()
}

// benchRouter starts a target process and a router in this process and returns
// their addresses.
func benchRouter(b *testing.B) (target, router string) {
	target = nextLine(b, startProcess(b, "target"))
	c, err := configurer.New(1, []configurer.Account{{ID: "a", Share: 1, KeyHashes: []string{configurer.KeyHash("secret")}, Pools: []string{"model"}}},
		[]configurer.Target{{ID: "t", Address: target, Kind: configurer.KindEngine, Pools: []string{"model"}, Slots: 1}}, nil)
	if err != nil {
		b.Fatal(err)
	}
	d, closeIdle := dispatcher.New(dispatcher.Options{Incarnation: 1, IdlePerTarget: 1000})
	b.Cleanup(closeIdle)
	s := receiver.NewServer(receiver.New(receiver.Options{Waiter: &waiter{targets: c.Pool("model")}, ConfigSource: configs{c}, Dispatcher: d}), slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return target, l.Addr().String()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency measures the latency that the router adds: it alternates
// requests to the target with requests through the router.
func BenchmarkAddedLatency(b *testing.B) {
	target, router := benchRouter(b)
	for b.Loop() {
		used := processorTime()
		v := strings.Fields(nextLine(b, startProcess(b, "latency", target, router, "5000")))
		for i, name := range []string{"direct-p50-ns", "direct-p99-ns", "router-p50-ns", "router-p99-ns"} {
			n, _ := strconv.ParseFloat(v[i], 64)
			b.ReportMetric(n, name)
		}
		b.ReportMetric(float64((processorTime()-used).Microseconds())/5000, "cpu-us/call")
	}
}

// BenchmarkStreamEvents measures the processor time of events, with 200 streams of
// 100 events per second each.
func BenchmarkStreamEvents(b *testing.B) {
	_, router := benchRouter(b)
	for b.Loop() {
		start, used := time.Now(), processorTime()
		events, _ := strconv.ParseFloat(nextLine(b, startProcess(b, "streams", router, "200", "500", "10")), 64)
		used = processorTime() - used
		b.ReportMetric(events/time.Since(start).Seconds(), "events/s")
		b.ReportMetric(events/used.Seconds(), "events/cpu-s")
	}
}

// BenchmarkOpenStreams measures the memory of open streams, with 1000 streams of
// one event per second each.
func BenchmarkOpenStreams(b *testing.B) {
	_, router := benchRouter(b)
	for b.Loop() {
		before, rss := memory()
		client := startProcess(b, "streams", router, "1000", "10", "1000", "hold")
		nextLine(b, client)
		time.Sleep(2 * time.Second)
		after, rssAfter := memory()
		b.ReportMetric((after-before)/1000, "B/stream")
		b.ReportMetric((rssAfter-rss)/1000, "rss-B/stream")
		nextLine(b, client)
	}
}

// memory returns the bytes in use by heap and stacks, and the resident bytes.
func memory() (inUse, resident float64) {
	// One collection halves a stack that is mostly unused, so several are needed to
	// reach the size that a serving router has, which collects every few seconds.
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		panic(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	return float64(m.HeapInuse + m.StackInuse), pages * float64(os.Getpagesize())
}
