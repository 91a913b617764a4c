package placer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// promptLoad simulates daemons that queue and place prompts at engines and learn of each
// other's prompts only by delayed reports.
type promptLoad struct {
	daemons, engines int
	// load is the share of the prefill capacity that the prompts need with their shared
	// parts cached.
	load float64
	// longShare is the share of the prompts that are drawn from the long-tailed lengths.
	longShare   float64
	reportDelay time.Duration
	split       bool
	seed        uint64
	// duration is the simulated time. The prompts that arrive between 6 s from the start
	// and 2 s before the end are counted.
	duration time.Duration
}

// Classes of prompts by length.
const (
	short = iota
	middle
	long
	classes
)

const (
	chunkTokens = 2048
	batchSize   = 48
	decodeStep  = 5 * time.Millisecond
	eventTokens = 6
	subjects    = 200
	// reportInterval is the time between two reports of a daemon.
	reportInterval = 200 * time.Millisecond
)

// classResult holds the times to the first event of the prompts of a class that were
// answered, and the counts of all and of those on time.
type classResult struct {
	latencies     []time.Duration
	total, onTime int
}

func (c classResult) quantile(q float64) time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	slices.Sort(c.latencies)
	return c.latencies[int(q*float64(len(c.latencies)-1))].Round(time.Millisecond)
}

func (c classResult) share() float64 { return float64(c.onTime) / float64(max(c.total, 1)) }

type promptResult struct {
	classes [classes]classResult
	// prefilled is the number of tokens prefilled for each token outside shared parts.
	prefilled float64
}

type promptJob struct {
	item   queuer.Item
	daemon int
	class  int
	// prefill and output are the tokens left, sinceEvent the tokens since the last event.
	prefill, output, sinceEvent int
	lastEvent                   time.Duration
}

// promptEngine prefills in chunks in the order of arrival and generates one token for each
// stream per step.
type promptEngine struct {
	speed   float64
	waiting []*promptJob
	batch   []*promptJob
	cached  map[uint64]bool
	busy    bool
}

// noShares treats all accounts as within their share.
type noShares struct{}

func (noShares) Served(time.Duration, string) float64          { return 0 }
func (noShares) OverShare(time.Duration, string, float64) bool { return false }
func (noShares) WithinGap(time.Duration, string, float64) bool { return true }
func (noShares) FairShare(time.Duration) float64               { return math.Inf(1) }
func (noShares) SpareWeight(time.Duration, string) float64     { return 1 }
func (noShares) RecordService(time.Duration, string, float64)  {}

// run simulates the load. Engines take speeds of 0.55 to 1.2 times the mean.
func (p promptLoad) run() promptResult {
	random := rand.New(rand.NewPCG(p.seed, 2))
	var result promptResult
	var entries []registrar.Entry
	engines := map[string]*promptEngine{}
	capacity := 0.0
	for i := range p.engines {
		id := fmt.Sprintf("e%02d", i)
		e := &promptEngine{speed: 74 * (0.55 + 0.65*random.Float64()), cached: map[uint64]bool{}}
		engines[id] = e
		capacity += e.speed * 1000
		entries = append(entries, registrar.Entry{ID: id, Service: "model", Address: id, Slots: batchSize})
	}
	config := resolver.New(resolver.Content{
		Services: []resolver.Service{{Name: "model", Engine: &resolver.Engine{Slots: batchSize, MemoryTokens: 400000, EventTokens: eventTokens}}},
		Limits:   resolver.Limits{TokensPerSecond: capacity},
	})
	fleets, queues := make([]*placer.Fleet, p.daemons), make([]*queuer.Queue, p.daemons)
	for i := range fleets {
		fleets[i] = placer.New(placer.Settings{Policy: placer.ShortestExpectedTime, Seed: uint64(i), SplitPrompts: p.split})
		fleets[i].SetTargets(entries)
		fleets[i].SetConfig(config)
		queues[i] = queuer.New(queuer.DefaultSettings(), fleets[i], noShares{})
	}
	var events herdEvents
	now := time.Duration(0)
	schedule := func(after time.Duration, call func()) { heap.Push(&events, herdEvent{now + after, call}) }
	jobs := map[uint64]*promptJob{}
	ownTokens, prefilledTokens := 0.0, 0.0
	measured := func(j *promptJob) bool {
		return j.item.Arrived > 6*time.Second && j.item.Arrived < p.duration-2*time.Second
	}
	var step func(e *promptEngine)
	step = func(e *promptEngine) {
		for len(e.batch) < batchSize && len(e.waiting) > 0 {
			e.batch, e.waiting = append(e.batch, e.waiting[0]), e.waiting[1:]
		}
		e.busy = len(e.batch) > 0
		if !e.busy {
			return
		}
		room := chunkTokens
		for _, j := range e.batch {
			part := min(j.prefill, room)
			j.prefill -= part
			room -= part
		}
		prefilledTokens += float64(chunkTokens - room)
		schedule(decodeStep+time.Duration(float64(chunkTokens-room)/e.speed*float64(time.Millisecond)), func() {
			e.batch = slices.DeleteFunc(e.batch, func(j *promptJob) bool {
				if j.prefill > 0 {
					return false
				}
				fleet, id := fleets[j.daemon], j.item.Request.ID
				if j.lastEvent == 0 {
					fleet.RecordFirstEvent(now, id)
					j.lastEvent = now
					if c := &result.classes[j.class]; measured(j) {
						c.latencies = append(c.latencies, now-j.item.Arrived)
						if now-j.item.Arrived <= j.item.Objective {
							c.onTime++
						}
					}
				}
				j.output--
				if j.sinceEvent++; j.sinceEvent == eventTokens {
					fleet.RecordEvents(now, id, 1, now-j.lastEvent)
					j.sinceEvent, j.lastEvent = 0, now
				}
				if j.output > 0 {
					return false
				}
				fleet.RecordEnd(now, id, placer.Complete)
				delete(jobs, id)
				return true
			})
			step(e)
		})
	}
	decide := func(daemon int) {
		for _, d := range queues[daemon].Decide(now) {
			j := jobs[d.ID]
			if d.Reason != "" {
				delete(jobs, d.ID)
				continue
			}
			e := engines[d.Choice.Target.ID]
			parts := j.item.Request.Parts
			j.prefill = parts[1].Tokens
			if !e.cached[parts[0].PrefixHash] {
				e.cached[parts[0].PrefixHash] = true
				j.prefill += parts[0].Tokens
			}
			e.waiting = append(e.waiting, j)
			if !e.busy {
				e.busy = true
				schedule(0, func() { step(e) })
			}
		}
	}
	id := uint64(0)
	draw := func() *promptJob {
		id++
		j := &promptJob{daemon: random.IntN(p.daemons)}
		tokens := 600 + random.IntN(1200)
		objective := 300 + random.IntN(400)
		if random.Float64() < p.longShare {
			// Log-normal with a mean of 6,600.
			tokens = min(int(math.Exp(math.Log(6600)-0.5+random.NormFloat64())), 50000)
			objective = 700 + random.IntN(800)
		}
		switch {
		case tokens > 8000:
			j.class = long
		case tokens > 1800:
			j.class = middle
		}
		subject := int(float64(subjects) * math.Pow(random.Float64(), 2))
		j.output = 20 + random.IntN(80)
		shared := 300 + subject*4
		j.item = queuer.Item{
			Request: placer.Request{
				ID: id, Service: "model", PromptTokens: shared + tokens, OutputTokens: j.output, MaxMeanEventGap: 500 * time.Millisecond,
				Parts: placer.NewPromptParts("m", []string{fmt.Sprint("subject", subject), fmt.Sprint("own", id)}, []int{shared, tokens}),
			},
			Arrived: now, Objective: time.Duration(objective) * time.Millisecond, Deadline: now + 5*time.Second,
		}
		return j
	}
	meanTokens := (1-p.longShare)*1200 + p.longShare*6500
	interval := float64(time.Second) * meanTokens / (p.load * capacity)
	var arrive func()
	arrive = func() {
		j := draw()
		jobs[j.item.Request.ID] = j
		ownTokens += float64(j.item.Request.Parts[1].Tokens)
		if measured(j) {
			result.classes[j.class].total++
		}
		fleets[j.daemon].RecordPrompt(now, j.item.Request)
		queues[j.daemon].Add(j.item)
		decide(j.daemon)
		schedule(time.Duration(random.ExpFloat64()*interval), arrive)
	}
	schedule(0, arrive)
	var tick func()
	tick = func() {
		for i, q := range queues {
			if q.Len() > 0 {
				decide(i)
			}
		}
		schedule(20*time.Millisecond, tick)
	}
	schedule(0, tick)
	var report func()
	report = func() {
		own := make([][]placer.Load, p.daemons)
		sum := map[placer.Key]placer.Load{}
		for i, f := range fleets {
			own[i] = f.TakeLoads(now, true)
			for _, l := range own[i] {
				s := sum[l.Target]
				s.Target = l.Target
				sum[l.Target] = s.Add(l)
			}
		}
		schedule(p.reportDelay, func() {
			for i, f := range fleets {
				others := make(map[placer.Key]placer.Load, len(sum))
				for k, l := range sum {
					others[k] = l
				}
				for _, l := range own[i] {
					others[l.Target] = others[l.Target].Sub(l)
				}
				list := make([]placer.Load, 0, len(others))
				for _, e := range entries {
					if l, ok := others[placer.KeyOf(e.ID)]; ok {
						list = append(list, l)
					}
				}
				f.SetPeerLoads(now, "others", list, true)
			}
		})
		schedule(reportInterval, report)
	}
	schedule(0, report)
	for len(events) > 0 && events[0].at < p.duration {
		e := heap.Pop(&events).(herdEvent)
		now = e.at
		e.call()
	}
	result.prefilled = prefilledTokens / ownTokens
	return result
}
