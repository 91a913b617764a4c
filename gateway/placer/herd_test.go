package placer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
)

// herd simulates daemons that place the requests of a plain service and learn of
// each other's requests only by delayed reports.
type herd struct {
	daemons int
	// servers is the number of targets in each of zones data centres, each with slots
	// and a queue; a target refuses further requests.
	zones, servers, slots, queue int
	// work is the mean time of one request in a slot, load the share of all slots that
	// the requests need.
	work time.Duration
	load float64
	// reportInterval is the time between two reports, reportDelay the age at which they
	// arrive.
	reportInterval, reportDelay time.Duration
	// skew is the share of the load that arrives in the first data centre; 0 means an
	// even part.
	skew float64
}

// herdResult holds shares of all requests: those refused by a target on their first
// attempt, and those answered only after three times the mean work.
type herdResult struct{ refused, late float64 }

type herdServer struct {
	running int
	waiting []*herdRequest
}

type herdRequest struct {
	placed  placer.Request
	daemon  int
	server  int
	arrived time.Duration
}

type herdEvent struct {
	at   time.Duration
	call func()
}

type herdEvents []herdEvent

func (h herdEvents) Len() int           { return len(h) }
func (h herdEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h herdEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *herdEvents) Push(x any)        { *h = append(*h, x.(herdEvent)) }
func (h *herdEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run simulates 20 s and counts the requests after the first 5 s.
func (h herd) run(t *testing.T) herdResult {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var entries []registrar.Entry
	var servers []*herdServer
	index := map[string]int{}
	for i := range h.servers * h.zones {
		id := fmt.Sprintf("s%02d", i)
		index[id] = i
		entries = append(entries, registrar.Entry{ID: id, Service: "desk", Address: id, DataCentre: fmt.Sprint("d", i%h.zones), Slots: h.slots})
		servers = append(servers, &herdServer{})
	}
	fleets := make([]*placer.Fleet, h.daemons)
	for i := range fleets {
		fleets[i] = placer.New(placer.Settings{DataCentre: fmt.Sprint("d", i%h.zones), Policy: placer.ShortestExpectedTime, Seed: uint64(i)})
		fleets[i].SetTargets(entries)
	}
	var events herdEvents
	now := time.Duration(0)
	schedule := func(after time.Duration, call func()) { heap.Push(&events, herdEvent{now + after, call}) }
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
	total, refused, late := 0, 0, 0
	measured := func() bool { return now > 5*time.Second }
	var begin func(s *herdServer, r *herdRequest)
	begin = func(s *herdServer, r *herdRequest) {
		s.running++
		schedule(time.Duration(math.Exp(random.NormFloat64()*0.5-0.125)*float64(h.work)), func() {
			s.running--
			fleets[r.daemon].RecordEnd(now, r.placed.ID, placer.Complete)
			if measured() {
				total++
				if now-r.arrived > 3*h.work {
					late++
				}
			}
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				begin(s, next)
			}
		})
	}
	place := func(daemon int) {
		lastID++
		r := placer.Request{ID: lastID, Service: "desk"}
		c, ok := fleets[daemon].Choose(now, r, placer.Constraints{FirstEventBudget: 5 * h.work})
		if !ok {
			return
		}
		fleets[daemon].RecordStart(now, r, c)
		s := servers[index[c.Target.ID]]
		request := &herdRequest{placed: r, daemon: daemon, server: index[c.Target.ID], arrived: now}
		switch {
		case s.running < h.slots:
			begin(s, request)
		case len(s.waiting) < h.queue:
			s.waiting = append(s.waiting, request)
		default:
			fleets[daemon].RecordEnd(now, r.ID, placer.Refused)
			if measured() {
				total++
				refused++
			}
		}
	}
	mean := time.Duration(float64(h.work) / (h.load * float64(h.slots*h.servers*h.zones)))
	var arrive func()
	arrive = func() {
		daemon := random.IntN(h.daemons)
		if h.skew > 0 && daemon%h.zones == 0 != (random.Float64() < h.skew) {
			for inFirst := daemon%h.zones != 0; (daemon%h.zones == 0) != inFirst; {
				daemon = random.IntN(h.daemons)
			}
		}
		place(daemon)
		schedule(exponential(mean), arrive)
	}
	schedule(0, arrive)
	var report func()
	report = func() {
		loads := make([][]placer.Load, h.daemons)
		sum := map[placer.Key]placer.Load{}
		for i, f := range fleets {
			loads[i] = f.TakeLoads(now, true)
			for _, l := range loads[i] {
				s := sum[l.Target]
				s.Target = l.Target
				sum[l.Target] = s.Add(l)
			}
		}
		schedule(h.reportDelay, func() {
			for i, f := range fleets {
				others := map[placer.Key]placer.Load{}
				for k, l := range sum {
					others[k] = l
				}
				for _, l := range loads[i] {
					o := others[l.Target]
					o.Running -= l.Running
					others[l.Target] = o
				}
				var list []placer.Load
				for _, l := range others {
					list = append(list, l)
				}
				f.SetPeerLoads(now, "others", list, true)
			}
		})
		schedule(h.reportInterval, report)
	}
	schedule(0, report)
	for len(events) > 0 && events[0].at < 20*time.Second {
		e := heap.Pop(&events).(herdEvent)
		now = e.at
		e.call()
	}
	return herdResult{refused: float64(refused) / float64(total), late: float64(late) / float64(total)}
}

// Load: a plain service near its capacity, asked by fleets of several sizes. Guards
// against daemons that all choose the same target by the same old reports, so that it
// refuses requests while others idle.
func TestDaemonsWithOldReportsSpreadRequests(t *testing.T) {
	small := herd{daemons: 6, zones: 3, servers: 1, slots: 6, queue: 24, work: 15 * time.Millisecond, load: 0.7, reportInterval: 100 * time.Millisecond, reportDelay: time.Millisecond}
	nine := herd{daemons: 9, zones: 3, servers: 1, slots: 6, queue: 24, work: 60 * time.Millisecond, load: 0.7, reportInterval: 100 * time.Millisecond, reportDelay: time.Millisecond}
	seventy := herd{daemons: 70, zones: 3, servers: 2, slots: 6, queue: 24, work: 60 * time.Millisecond, load: 0.7, reportInterval: 200 * time.Millisecond, reportDelay: 200 * time.Millisecond}
	large := herd{daemons: 295, zones: 5, servers: 2, slots: 6, queue: 24, work: 60 * time.Millisecond, load: 0.8, reportInterval: 400 * time.Millisecond, reportDelay: 400 * time.Millisecond}
	slow := large
	slow.reportInterval, slow.reportDelay = time.Second, time.Second
	skewed := large
	skewed.skew = 0.32
	skewed.load = 0.7
	for name, h := range map[string]herd{"6": small, "9": nine, "70": seventy, "295": large, "295 with rare reports": slow, "295 with a busy data centre": skewed} {
		r := h.run(t)
		t.Logf("%s daemons: %.4f refused, %.4f late", name, r.refused, r.late)
		if r.refused > 0.001 {
			t.Errorf("%s daemons: %.3f of the requests were refused by a full target, want at most 0.001", name, r.refused)
		}
		if r.late > 0.1 {
			t.Errorf("%s daemons: %.3f of the requests took three times their work, want at most 0.1", name, r.late)
		}
	}
}
