package scheduler_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"monsoondeck.example/scheduler"
)

const (
	benchTargets  = 12
	benchMembers  = 320
	benchAccounts = 1900
)

// benchShard returns a shard of the size that is planned for: 12 targets with 8 slots, 320 members,
// and accounts with demand at one member each. All are named by their index.
func benchShard(accounts int) (*scheduler.Scheduler, []scheduler.Target, []scheduler.Demand) {
	s := scheduler.New(scheduler.Settings{Epoch: 1})
	targets := make([]scheduler.Target, benchTargets)
	for i := range targets {
		targets[i] = scheduler.Target{ID: strconv.Itoa(i), Limit: 8}
	}
	s.SetTargets(0, targets)
	members := make([]string, benchMembers)
	for i := range members {
		members[i] = strconv.Itoa(i)
	}
	s.SetMembers(0, members)
	demands := make([]scheduler.Demand, accounts)
	for i := range demands {
		demands[i] = scheduler.Demand{Account: strconv.Itoa(i), Weight: float64(1 + i%4), Waiting: 1 << 20, EstimatedUnits: float64(50 + i%200)}
		s.SetDemand(0, members[i%benchMembers], demands[i:i+1])
	}
	return s, targets, demands
}

func BenchmarkTargets(b *testing.B) {
	s, targets, _ := benchShard(benchAccounts)
	for b.Loop() {
		s.SetTargets(0, targets)
	}
}

func BenchmarkDemand(b *testing.B) {
	s, _, demands := benchShard(benchAccounts)
	for i := 0; b.Loop(); i++ {
		k := i * 7919 % benchAccounts
		demands[k].Waiting = i % 9
		s.SetDemand(time.Duration(i), strconv.Itoa(k%benchMembers), demands[k:k+1])
	}
}

// BenchmarkCycle fills all slots, settles the grants one by one and sets the demand again.
func BenchmarkCycle(b *testing.B) {
	s, _, demands := benchShard(benchAccounts)
	var granting, settling time.Duration
	grants := 0
	for now := scheduler.DefaultRebuildWindow; b.Loop(); now += time.Millisecond {
		begin := time.Now()
		granted := s.Grants(now)
		granting += time.Since(begin)
		grants += len(granted)
		settlements := make([]scheduler.Settlement, len(granted))
		for i, g := range granted {
			settlements[i] = scheduler.Settlement{ID: g.ID, Account: g.Account, Target: g.Target, Cost: 80}
		}
		begin = time.Now()
		for i, g := range granted {
			s.Settle(now, g.Member, 1, settlements[i:i+1])
		}
		settling += time.Since(begin)
		for _, g := range granted {
			k, _ := strconv.Atoi(g.Account)
			demands[k].NewestGrantID = g.ID
			s.SetDemand(now, g.Member, demands[k:k+1])
		}
	}
	b.ReportMetric(float64(granting.Nanoseconds())/float64(grants), "ns/grant")
	b.ReportMetric(float64(settling.Nanoseconds())/float64(grants), "ns/settlement")
}

// BenchmarkMemory reports the memory per account with demand at one member.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _, _ := benchShard(benchAccounts)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchAccounts, "B/account")
		runtime.KeepAlive(s)
	}
}
