package quarantiner_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/quarantiner"
)

// Guards against a prompt in quarantine because cold targets crashed under too many
// requests, also where a daemon hears of the crashes before it knows that the targets were
// cold, or never does; and against a crash after the cold time that is no evidence.
func TestExcusedCrashesAreNoEvidence(t *testing.T) {
	crash := func(i int) quarantiner.Crash { return quarantiner.CrashOf("t", int64(i)) }
	part := quarantiner.PartOf("s", 7)
	record := func(q *quarantiner.Quarantine, from, to int, learned bool) {
		for i := from; i < to; i++ {
			now := time.Duration(i) * time.Second
			incident := quarantiner.Incident{Part: part, Crash: crash(i), Request: uint64(100 + i)}
			if learned {
				q.Learn(now, quarantiner.Evidence{Incidents: []quarantiner.Incident{incident}})
			} else {
				q.RecordIncident(now, incident)
			}
		}
	}
	early, late, uninformed := quarantiner.New(), quarantiner.New(), quarantiner.New()
	for i := 1; i <= 5; i++ {
		early.Excuse(0, crash(i), 10*time.Second)
	}
	record(early, 1, 6, false)
	record(late, 1, 6, false)
	record(uninformed, 1, 6, true)
	now := 6 * time.Second
	if n := len(early.Quarantined(now)); n != 0 {
		t.Errorf("%d parts in quarantine because of excused crashes", n)
	}
	if len(late.Quarantined(now)) != 1 || len(uninformed.Quarantined(now)) != 1 {
		t.Fatal("the crashes are not enough for a quarantine, so that the test tells nothing")
	}
	for i := 1; i <= 5; i++ {
		late.Excuse(now, crash(i), 10*time.Second)
	}
	if n := len(late.Quarantined(now)); n != 0 {
		t.Errorf("%d parts in quarantine because of crashes that were excused later", n)
	}
	own, _ := late.TakeNew(now)
	uninformed.Learn(now, own)
	if n := len(uninformed.Quarantined(now)); n != 0 {
		t.Errorf("%d parts in quarantine at a daemon that was told of the excuse", n)
	}
	early.Learn(now, uninformed.All(now))
	if n := len(early.Quarantined(now)); n != 0 {
		t.Errorf("%d parts in quarantine after evidence of a peer", n)
	}
	old := quarantiner.New()
	for i := range 3 {
		age := time.Duration(i+1) * time.Second
		old.Learn(0, quarantiner.Evidence{Incidents: []quarantiner.Incident{{Part: part, Crash: crash(i + 20), Request: uint64(i), Age: age}}})
	}
	if n := len(old.Quarantined(0)); n != 1 {
		t.Error("crashes before the start of the daemon are no evidence")
	}
	record(early, 11, 14, false)
	for i := 11; i < 14; i++ {
		early.Excuse(0, crash(i), time.Second)
	}
	if n := len(early.Quarantined(15 * time.Second)); n != 1 {
		t.Error("crashes after the cold time are no evidence")
	}
}
