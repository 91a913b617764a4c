package grouper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
)

// newDaemons returns n daemons in a number of data centres.
func newDaemons(n, dataCentres int) []grouper.Daemon {
	all := make([]grouper.Daemon, n)
	for i := range all {
		all[i] = grouper.Daemon{ID: fmt.Sprintf("h-%d", i), DataCentre: fmt.Sprintf("d-%d", i%dataCentres)}
	}
	return all
}

// peersOf returns all daemons but self.
func peersOf(all []grouper.Daemon, self grouper.Daemon) []grouper.Daemon {
	return slices.DeleteFunc(slices.Clone(all), func(d grouper.Daemon) bool { return d == self })
}

// Guards against a daemon whose work reaches another one not at all or twice, whichever
// daemons are dead: a report must reach each relay of the group, the sum of a group
// each outside relay once, and the total each other daemon once.
func TestEveryDaemonLearnsOfAllOthersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newDaemons(rapid.IntRange(1, 200).Draw(t, "daemons"), rapid.IntRange(1, 5).Draw(t, "dataCentres"))
		dead := map[string]bool{}
		for range rapid.IntRange(0, len(all)/2).Draw(t, "dead") {
			dead[all[rapid.IntRange(0, len(all)-1).Draw(t, "which")].ID] = true
		}
		plans := map[string]grouper.Plan{}
		for _, self := range all {
			if !dead[self.ID] {
				plans[self.ID] = grouper.New(self, peersOf(all, self), func(peer string) bool { return !dead[peer] })
			}
		}
		sums, totals := map[string]map[grouper.Group]int{}, map[string][]string{}
		alive := map[grouper.Group]bool{}
		for name, p := range plans {
			alive[p.OwnGroup] = true
			for _, to := range p.SumRecipients {
				if sums[to] == nil {
					sums[to] = map[grouper.Group]int{}
				}
				sums[to][p.OwnGroup]++
			}
			for _, to := range p.TotalRecipients {
				totals[to] = append(totals[to], name)
			}
			if p.Undivided() && len(p.ReportRecipients) != len(all)-1 {
				t.Fatalf("%s reports to %d daemons of %d", name, len(p.ReportRecipients), len(all))
			}
		}
		for name, p := range plans {
			if p.Undivided() {
				continue
			}
			for other, q := range plans {
				if other != name && q.OwnGroup == p.OwnGroup && q.Relay != slices.Contains(p.ReportRecipients, other) {
					t.Fatalf("%s reports to %v, but %s is a relay: %v", name, p.ReportRecipients, other, q.Relay)
				}
			}
			for g := range alive {
				if n := sums[name][g]; p.Relay && g != p.OwnGroup && n != 1 {
					t.Fatalf("relay %s gets %d sums of group %v, want 1", name, n, g)
				}
			}
			if p.Relay != (p.Source == "") || !p.Relay && (len(totals[name]) != 1 || totals[name][0] != p.Source) {
				t.Fatalf("%s, a relay: %v, gets totals from %v, want one from %q", name, p.Relay, totals[name], p.Source)
			}
		}
	})
}

// Load: fleets of different sizes. Guards against messages that grow in proportion to
// the fleet, in most daemons or in the relays.
func TestFewDaemonsSendManyMessages(t *testing.T) {
	for _, n := range []int{40, 83, 300, 1000} {
		all := newDaemons(n, 5)
		total, most := 0, 0
		for _, self := range all {
			r := grouper.New(self, peersOf(all, self), func(string) bool { return true }).Recipients()
			total += r
			most = max(most, r)
		}
		// Each daemon sends to its relays and gets one total; relays exchange few sums.
		if bound := 10 * n; total > bound {
			t.Errorf("%d daemons send %d messages in an interval, want at most %d", n, total, bound)
		}
		if bound := 100; most > bound {
			t.Errorf("a daemon in a fleet of %d sends to %d others, want at most %d", n, most, bound)
		}
	}
}

// Guards against an old request limit that looks as new as on the day of its report, and
// prevails over the news that it was lifted.
func TestSumsHaveTheNewestLimit(t *testing.T) {
	s := grouper.NewSums()
	report := func(limit placer.RequestLimit, age time.Duration) grouper.Report {
		return grouper.Report{Loads: []placer.Load{{Target: placer.KeyOf("e"), LimitKnown: true, Limit: limit, LimitAge: age, Wanted: 2}}}
	}
	s.Set(1*time.Second, "a", 1, report(placer.RequestLimit{Limited: true, PerSecond: 3}, 0))
	s.Set(4*time.Second, "b", 1, report(placer.RequestLimit{}, 500*time.Millisecond))
	r := s.TakeSum(5*time.Second, true)
	if len(r.Loads) != 1 || r.Loads[0] != (placer.Load{Target: placer.KeyOf("e"), LimitKnown: true, LimitAge: 1500 * time.Millisecond, Wanted: 4}) {
		t.Errorf("sum %+v, want the limit that was lifted 1.5 s ago", r.Loads)
	}
}

// Guards against sums that lose or repeat service when a member restarts, and
// against counting the load of members that left.
func TestSumsFollowMemberReports(t *testing.T) {
	s := grouper.NewSums()
	load := func(prefillTokens float64, running int) []placer.Load {
		return []placer.Load{{Target: placer.KeyOf("e"), PrefillTokens: prefillTokens, Running: running, MemoryTokens: 10}}
	}
	account := func(demand, served float64) []sharer.Total {
		return []sharer.Total{{Account: "x", Demand: demand, Served: served}}
	}
	s.Set(0, "a", 1, grouper.Report{Loads: load(100, 1), Accounts: account(1000, 1000)})
	s.Set(0, "b", 1, grouper.Report{Loads: load(50, 2), Accounts: account(0, 0), Spills: []placer.Spill{{Target: "e", PrefixHash: 7}}})
	r := s.TakeSum(0, true)
	if len(r.Loads) != 1 || r.Loads[0] != (placer.Load{Target: placer.KeyOf("e"), PrefillTokens: 150, Running: 3, MemoryTokens: 20}) || len(r.Accounts) != 0 || len(r.Spills) != 1 || !r.Complete {
		t.Fatalf("sum %+v, want the loads of both members added up", r)
	}
	s.Set(0, "a", 1, grouper.Report{Accounts: account(1500, 1200)})
	s.Set(0, "b", 1, grouper.Report{Accounts: account(40, 30)})
	if r = s.TakeSum(0, false); len(r.Accounts) != 1 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 540, Served: 230}) || len(r.Spills) != 0 {
		t.Fatalf("sum %+v, want a demand of 540 tokens and 230 served", r)
	}
	s.Set(0, "a", 2, grouper.Report{Accounts: account(10, 10)})
	s.Set(0, "a", 1, grouper.Report{Accounts: account(9000, 9000)}) // a late report of the previous incarnation
	s.Set(0, "a", 2, grouper.Report{Accounts: account(30, 30)})
	s.Remove("b")
	if r = s.TakeSum(0, false); len(r.Loads) != 0 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 560, Served: 250}) {
		t.Fatalf("sum %+v, want no loads, a demand of 560 tokens and 250 served", r)
	}
	if r = s.TakeSum(0, false); len(r.Accounts) != 0 {
		t.Errorf("the sum has unchanged totals: %+v", r)
	}
}

// Guards against FAIR: a relay that begins to count anew, without a restart, takes service
// back from the sums of all others.
func TestSumsTakeNothingBack(t *testing.T) {
	s := grouper.NewSums()
	report := func(served float64) grouper.Report {
		return grouper.Report{Accounts: []sharer.Total{{Account: "x", Demand: served, Served: served}}}
	}
	for _, served := range []float64{1e6, 1e6 + 500, 100, 130} {
		s.Set(0, "relay", 1, report(served))
	}
	if r := s.TakeSum(0, true); len(r.Accounts) != 1 || r.Accounts[0].Served != 530 {
		t.Errorf("sum %+v, want 530 served", r.Accounts)
	}
}

// Guards against a daemon that counts its own work twice, as a part of the total that
// it gets back, also after it was silent for a while.
func TestTotalLeavesOutTheRecipient(t *testing.T) {
	s := grouper.NewSums()
	load := func(running int) []placer.Load { return []placer.Load{{Target: placer.KeyOf("e"), Running: running}} }
	account := func(demand, served float64) []sharer.Total {
		return []sharer.Total{{Account: "x", Demand: demand, Served: served}}
	}
	for _, name := range []string{"a", "b"} {
		s.Set(0, name, 1, grouper.Report{Accounts: account(0, 0)})
	}
	s.Set(0, "a", 1, grouper.Report{Loads: load(3), Accounts: account(100, 90)})
	s.Set(0, "b", 1, grouper.Report{Loads: load(2), Accounts: account(10, 9)})
	sum := s.TakeSum(0, true)
	if r := s.Without("a", sum); len(r.Loads) != 1 || r.Loads[0].Running != 2 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 10, Served: 9}) {
		t.Errorf("total for a: %+v, want the work of b", r)
	}
	if r := s.Without("c", sum); r.Loads[0].Running != 5 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 110, Served: 99}) {
		t.Errorf("total for c: %+v, want the work of a and b", r)
	}
	s.Remove("a")
	if r := s.Without("a", s.TakeSum(0, true)); r.Loads[0].Running != 2 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 10, Served: 9}) {
		t.Errorf("total for a after it was removed: %+v, want the work of b", r)
	}
}

// Guards against FAIR: service of a long time that a relay passes on as service of one moment,
// because the first report of a member was not complete.
func TestIncompleteFirstReportAddsNoOldService(t *testing.T) {
	s := grouper.NewSums()
	for _, r := range []sharer.Total{{Account: "b", Demand: 1e6, Served: 1e6}, {Account: "a", Demand: 1e6 + 500, Served: 1e6 + 500}} {
		s.Set(0, "m", 1, grouper.Report{Accounts: []sharer.Total{r}})
	}
	for _, a := range s.TakeSum(0, true).Accounts {
		if a.Account == "a" && a.Served > 500 {
			t.Errorf("the sum has %v of account %q, want at most 500", a.Served, a.Account)
		}
	}
}

// Guards against FAIR: service of an account that is new at a member does not reach the others.
func TestServiceOfNewAccountsIsAddedAfterAllWereReported(t *testing.T) {
	s := grouper.NewSums()
	report := func(all bool, account string, served float64) grouper.Report {
		return grouper.Report{AllAccounts: all, Accounts: []sharer.Total{{Account: account, Demand: served, Served: served}}}
	}
	s.Set(0, "m", 1, report(true, "b", 1e6))
	s.Set(0, "m", 1, report(false, "a", 500))
	sum := s.TakeSum(0, true)
	if want := (sharer.Total{Account: "a", Demand: 500, Served: 500}); len(sum.Accounts) != 1 || sum.Accounts[0] != want {
		t.Errorf("sum %+v, want %+v", sum.Accounts, want)
	}
	if own := s.Without("x", sum); !sum.AllAccounts || !own.AllAccounts || s.TakeSum(0, false).AllAccounts {
		t.Error("sums do not say whether they have all accounts")
	}
}
