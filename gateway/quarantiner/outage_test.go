package quarantiner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoondeck.example/gateway/quarantiner"
)

// outageFleet is a model of daemons that send prompts to targets in three data centres. Each
// prompt has a part that all prompts of its route have, one of an account, and one of its own.
type outageFleet struct {
	random  *rand.Rand
	daemons []*quarantiner.Quarantine
	targets []outageTarget
	// pending holds the ends of requests and the deliveries of reports, unordered.
	pending []outageEvent
	now     time.Duration
	nextID  uint64
	// special is a part of some requests; 0 stands for none. deadly is set while it ends each
	// target which begins to answer it, trials if daemons let some refused requests through.
	special        quarantiner.Part
	deadly, trials bool
	// arrivals are the times at which deadly requests reached targets, crashes those at which
	// they ended one. sent and refused count the sound requests.
	arrivals, crashes []time.Duration
	sent, refused     int
}

// outageTarget is a target of the model.
type outageTarget struct {
	incarnation int64
	// downUntil is the time until which it does not answer; lostAt is when that began.
	downUntil, lostAt time.Duration
}

// outageEvent is something that happens at a time.
type outageEvent struct {
	at  time.Duration
	run func()
}

const (
	outageDaemons = 12
	outageTargets = 60
	// outageRate is the number of requests a second of the whole fleet.
	outageRate = 600
	// outageStep is the resolution of the model.
	outageStep = 5 * time.Millisecond
	// outageReport is the time between reports of new evidence, outageDelay that of a message.
	outageReport = 100 * time.Millisecond
	outageDelay  = 20 * time.Millisecond
)

func newOutageFleet(seed uint64) *outageFleet {
	f := &outageFleet{random: rand.New(rand.NewPCG(seed, 0)), targets: make([]outageTarget, outageTargets), nextID: 1_000_000}
	for range outageDaemons {
		f.daemons = append(f.daemons, quarantiner.New())
	}
	return f
}

func (f *outageFleet) after(d time.Duration, run func()) {
	f.pending = append(f.pending, outageEvent{f.now + d, run})
}

// run lets the model run until a time.
func (f *outageFleet) run(until time.Duration) {
	for ; f.now < until; f.now += outageStep {
		due := slices.Clone(f.pending)
		f.pending = slices.DeleteFunc(f.pending, func(e outageEvent) bool { return e.at <= f.now })
		due = slices.DeleteFunc(due, func(e outageEvent) bool { return e.at > f.now })
		slices.SortStableFunc(due, func(a, b outageEvent) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			e.run()
		}
		for range outageRate * int(outageStep) / int(time.Second) {
			f.send(false)
		}
		if f.special != 0 && f.now%(50*time.Millisecond) == 0 {
			f.send(true)
		}
		if f.now%outageReport == 0 {
			f.report()
		}
	}
}

// report sends the new evidence of each daemon to all others, and all of it every second.
func (f *outageFleet) report() {
	for i, q := range f.daemons {
		evidence, _ := q.TakeNew(f.now)
		if f.now%time.Second == 0 {
			evidence = q.All(f.now)
		}
		if evidence.Empty() {
			continue
		}
		f.after(outageDelay, func() {
			for j, other := range f.daemons {
				if j != i {
					other.Learn(f.now, evidence)
				}
			}
		})
	}
}

// send sends a request of a random account to a target that the daemon takes for usable. Each
// account has two daemons.
func (f *outageFleet) send(special bool) {
	account := f.random.IntN(40)
	host := (account*7 + f.random.IntN(2)*5) % outageDaemons
	daemon := f.daemons[host]
	deadly := special && f.deadly
	f.nextID++
	route, own := account%3, 10+f.random.IntN(8)
	parts := []quarantiner.Part{quarantiner.Part(1 + route), quarantiner.Part(1000*(account+1) + own), quarantiner.Part(f.nextID)}
	if special {
		parts = slices.Insert(parts, 2, f.special)
	}
	if _, _, blocked := daemon.Blocked(f.now, parts); blocked && !(f.trials && daemon.TakeTrial(f.now, parts, fleet(host, outageDaemons))) {
		if !deadly {
			f.refused++
		}
		return
	}
	index := f.random.IntN(outageTargets)
	t := &f.targets[index]
	if f.now < t.downUntil && f.now > t.lostAt+time.Second {
		return // no daemon uses the target any more
	}
	if !deadly {
		f.sent++
	}
	f.answer(daemon, parts, index, deadly)
}

// answer lets a target answer a request: it begins after up to 400 ms and then goes on.
func (f *outageFleet) answer(daemon *quarantiner.Quarantine, parts []quarantiner.Part, index int, deadly bool) {
	t := &f.targets[index]
	incarnation, placed := t.incarnation, f.now
	if deadly {
		f.arrivals = append(f.arrivals, f.now)
	}
	wait := 50*time.Millisecond + time.Duration(f.random.IntN(350))*time.Millisecond
	f.after(wait, func() {
		if f.lost(daemon, parts, index, incarnation, placed) {
			return
		}
		if deadly {
			f.crashes = append(f.crashes, f.now)
			t.lostAt, t.downUntil, t.incarnation = f.now, f.now+3*time.Second, t.incarnation+1
			f.lost(daemon, parts, index, incarnation, placed)
			return
		}
		began := f.now
		f.after(quarantiner.ProofTime, func() {
			if f.lost(daemon, parts, index, incarnation, placed) {
				return
			}
			shared, whole := parts[:len(parts)-1], parts[len(parts)-1]
			daemon.RecordAnswer(f.now, shared, began)
			daemon.RecordRequestAnswer(f.now, whole, began)
		})
	})
}

// lost reports whether a request has lost its target. Its daemon then takes it for a crash. It
// notices a connection that is cut off when that is next used, up to two seconds later.
func (f *outageFleet) lost(daemon *quarantiner.Quarantine, parts []quarantiner.Part, index int, incarnation int64, placed time.Duration) bool {
	t := f.targets[index]
	if t.incarnation == incarnation && (t.lostAt == 0 || f.now >= t.downUntil && placed >= t.downUntil) {
		return false
	}
	notice := time.Duration(0)
	if t.incarnation == incarnation {
		notice = time.Duration(f.random.IntN(2000)) * time.Millisecond
	}
	f.after(notice, func() {
		for _, i := range quarantiner.Incidents(parts, uint64(parts[len(parts)-1]), quarantiner.CrashOf(fmt.Sprint(index), incarnation), 0) {
			daemon.RecordIncident(f.now, i)
		}
	})
	return true
}

// lose takes the targets of the first data centre away for a time: cut off, or restarted one
// after the other within the spread.
func (f *outageFleet) lose(d, spread time.Duration, restarted bool) {
	for i := range f.targets {
		if i%3 != 0 {
			continue
		}
		f.after(time.Duration(f.random.Int64N(int64(spread)+1)), func() {
			t := &f.targets[i]
			t.lostAt, t.downUntil = f.now, f.now+d
			if restarted {
				t.incarnation++
			}
		})
	}
}

// late returns the number of deadly requests that reached a target later than 3 s after the
// fifth crash.
func (f *outageFleet) late() int {
	if len(f.crashes) < 5 {
		return 0
	}
	limit, count := f.crashes[4]+3*time.Second, 0
	for _, at := range f.arrivals {
		if at > limit {
			count++
		}
	}
	return count
}

// Guards against FAIR of 2026-12-06, report 2: a part that was in most prompts of a route was
// at most targets of a data centre that was cut off, or restarted, and was refused for ten
// minutes, although thousands of answers had proved it sound.
func TestLossOfADataCentreRefusesNoSoundPart(t *testing.T) {
	for name, lose := range map[string]func(*outageFleet){
		"cut off":              func(f *outageFleet) { f.lose(6*time.Second, 0, false) },
		"restarted together":   func(f *outageFleet) { f.lose(2*time.Second, 200*time.Millisecond, true) },
		"restarted one by one": func(f *outageFleet) { f.lose(2*time.Second, 3*time.Second, true) },
		"restarted, then cut": func(f *outageFleet) {
			f.lose(time.Second, time.Second, true)
			f.after(4*time.Second, func() { f.lose(4*time.Second, 0, false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newOutageFleet(seed)
				f.run(4 * time.Second)
				lose(f)
				f.run(20 * time.Second)
				if f.refused > 0 {
					t.Errorf("seed %d: %d sound requests were refused, %d sent", seed, f.refused, f.sent)
				}
			}
		})
	}
}

// Guards against a part that crashes targets and is found too late because targets are lost
// for another reason at the same time.
func TestDeadlyPartIsFoundDuringTheLossOfADataCentre(t *testing.T) {
	for seed := range uint64(4) {
		f := newOutageFleet(seed)
		f.run(4 * time.Second)
		f.special, f.deadly = 5, true
		f.lose(6*time.Second, 0, false)
		f.run(20 * time.Second)
		if late := f.late(); late > 3 {
			t.Errorf("seed %d: %d requests with the deadly part reached targets later than 3 s after the fifth crash, %d crashes", seed, late, len(f.crashes))
		}
		t.Logf("seed %d: %d crashes, %d late arrivals, %d of %d sound requests refused", seed, len(f.crashes), f.late(), f.refused, f.sent)
	}
}

// Guards against a part that is cleared of many crashes and comes back into quarantine with
// the reports of daemons that were cut off meanwhile and have not heard of the proofs.
func TestProofsOfManyCrashesAreRemembered(t *testing.T) {
	const crashes = 60
	q := quarantiner.New()
	var late quarantiner.Evidence
	now := 10 * time.Second
	q.Learn(now, quarantiner.Evidence{Proofs: []quarantiner.Proof{{Part: shared}}})
	for c := range crashes {
		i := quarantiner.Incident{Part: shared, Crash: quarantiner.Crash(c + 1), Request: uint64(c), Age: time.Duration(crashes-c) * 100 * time.Millisecond}
		late.Incidents = append(late.Incidents, i)
		q.Learn(now, quarantiner.Evidence{Incidents: []quarantiner.Incident{i}, Proofs: []quarantiner.Proof{{Part: shared}, {Part: shared, Crash: i.Crash}}})
	}
	q.Learn(now, late)
	if n := len(q.Incidents(now, shared)); n > 0 || blocked(q, now+5*time.Second, shared) {
		t.Errorf("%d incidents of crashes that were cleared count again", n)
	}
}
