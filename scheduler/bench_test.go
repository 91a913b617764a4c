package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoondeck.example/scheduler"
)

const (
	benchMembers  = 320
	benchAccounts = 1900
)

// benchShard is a shard of the design's size: 12 targets with 8 slots, 320 members and 1,900
// accounts with demand at one member each.
func benchShard(accounts int) (*scheduler.Scheduler, []string, []scheduler.Demand) {
	s := scheduler.New(scheduler.Settings{Epoch: 1})
	var targets []scheduler.Target
	for i := range 12 {
		targets = append(targets, scheduler.Target{ID: fmt.Sprintf("target-%d", i), Limit: 8})
	}
	s.SetTargets(0, targets)
	var members []string
	for i := range benchMembers {
		members = append(members, fmt.Sprintf("member-%d", i))
	}
	s.SetMembers(0, members)
	demands := make([]scheduler.Demand, accounts)
	for i := range demands {
		demands[i] = scheduler.Demand{
			Account: fmt.Sprintf("account-%d", i), Weight: float64(1 + i%4), Waiting: 1 << 20, Estimate: float64(50 + i%200),
		}
		s.SetDemand(0, members[i%benchMembers], demands[i:i+1])
	}
	return s, members, demands
}

func BenchmarkDemand(b *testing.B) {
	s, members, demands := benchShard(benchAccounts)
	for i := 0; b.Loop(); i++ {
		k := i * 7919 % benchAccounts
		demands[k].Waiting = i % 9
		s.SetDemand(time.Duration(i), members[k%benchMembers], demands[k:k+1])
	}
}

// BenchmarkGrant and BenchmarkSettle run the same cycle of one grant and one settlement and
// stop the clock for the other half.
func BenchmarkGrant(b *testing.B) { benchCycle(b, true) }

func BenchmarkSettle(b *testing.B) { benchCycle(b, false) }

func benchCycle(b *testing.B, grants bool) {
	s, members, demands := benchShard(benchAccounts)
	now := scheduler.DefaultRebuildWindow
	seen := make([]uint64, benchAccounts)
	index := map[string]int{}
	for i, d := range demands {
		index[d.Account] = i
	}
	held := s.Grants(now)
	b.ResetTimer()
	for n := 0; n < b.N; {
		batch := len(held)
		b.StopTimer()
		byMember := map[string][]scheduler.Settlement{}
		for _, g := range held {
			byMember[g.Member] = append(byMember[g.Member], scheduler.Settlement{ID: g.ID, Account: g.Account, Target: g.Target, Cost: 80})
			seen[index[g.Account]] = g.ID
		}
		if !grants {
			b.StartTimer()
		}
		for m, settlements := range byMember {
			s.Settle(now, m, 1, settlements)
		}
		b.StopTimer()
		for _, g := range held {
			k := index[g.Account]
			demands[k].Seen = seen[k]
			s.SetDemand(now, members[k%benchMembers], demands[k:k+1])
		}
		now += time.Millisecond
		if grants {
			b.StartTimer()
		}
		held = s.Grants(now)
		b.StopTimer()
		n += batch
		b.StartTimer()
	}
}

// BenchmarkMemory reports the memory per account with demand at one member.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		empty, _, _ := benchShard(0)
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _, demands := benchShard(benchAccounts)
		demands = demands[:0]
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchAccounts, "B/account")
		runtime.KeepAlive(empty)
		runtime.KeepAlive(s)
		runtime.KeepAlive(demands)
	}
}
