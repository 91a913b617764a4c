package grouper_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
)

func daemonNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("h-%d", i)
	}
	return all
}

// peersOf returns all names but that of self.
func peersOf(all []string, self string) []string {
	var peers []string
	for _, name := range all {
		if name != self {
			peers = append(peers, name)
		}
	}
	return peers
}

// Guards against a daemon that gets the sum of a group from no member or from two,
// whichever daemons are dead, as long as the group has a live one.
func TestEveryDaemonGetsEachGroupSumOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := daemonNames(rapid.IntRange(1, 200).Draw(t, "daemons"))
		dead := map[string]bool{}
		for range rapid.IntRange(0, len(all)/2).Draw(t, "dead") {
			dead[all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]] = true
		}
		received := map[string]map[grouper.Group]int{}
		alive := map[grouper.Group]bool{}
		for _, self := range all {
			if dead[self] {
				continue
			}
			p := grouper.New(self, peersOf(all, self), func(peer string) bool { return !dead[peer] })
			alive[p.OwnGroup] = true
			for _, to := range append(p.Members, p.SumRecipients...) {
				if received[to] == nil {
					received[to] = map[grouper.Group]int{}
				}
				received[to][p.OwnGroup]++
			}
		}
		for _, self := range all {
			own := grouper.New(self, peersOf(all, self), func(string) bool { return true }).OwnGroup
			for g := range alive {
				if n := received[self][g]; g != own && n != 1 {
					t.Fatalf("%s gets %d sums of group %v, want 1", self, n, g)
				}
			}
		}
	})
}

// Load: fleets of different sizes. Guards against messages that grow in proportion
// to the fleet.
func TestRecipientsGrowWithTheSquareRoot(t *testing.T) {
	for _, n := range []int{40, 83, 300, 1000} {
		all := daemonNames(n)
		most := 0
		for _, self := range all {
			most = max(most, grouper.New(self, peersOf(all, self), func(string) bool { return true }).Recipients())
		}
		// Members and SumRecipients both have the square root of the fleet on
		// average; hashing divides the daemons unevenly.
		if bound := 5 * math.Sqrt(float64(n)); float64(most) > bound {
			t.Errorf("a daemon in a fleet of %d sends to %d others, want at most %.0f", n, most, bound)
		}
	}
}

// Guards against counting load twice when daemons divide the fleet differently.
func TestGroupsOfDifferentSizesOverlap(t *testing.T) {
	for _, name := range daemonNames(100) {
		eight, sixteen := grouper.Of(name, 8), grouper.Of(name, 16)
		if !eight.Overlaps(sixteen) || !sixteen.Overlaps(eight) || !eight.Overlaps(grouper.Group{}) {
			t.Errorf("the groups %v and %v of %s do not overlap", eight, sixteen, name)
		}
	}
	if (grouper.Group{Index: 1, Count: 8}).Overlaps(grouper.Group{Index: 2, Count: 16}) {
		t.Error("groups that cannot have a daemon in common overlap")
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
	s.Set("a", 1, grouper.Report{Loads: load(100, 1), Accounts: account(1000, 1000)})
	s.Set("b", 1, grouper.Report{Loads: load(50, 2), Accounts: account(0, 0), Spills: []placer.Spill{{Target: "e", PrefixHash: 7}}})
	r := s.TakeSum(true)
	if len(r.Loads) != 1 || r.Loads[0] != (placer.Load{Target: placer.KeyOf("e"), PrefillTokens: 150, Running: 3, MemoryTokens: 20}) || len(r.Accounts) != 0 || len(r.Spills) != 1 || !r.Complete {
		t.Fatalf("sum %+v, want the loads of both members added up", r)
	}
	s.Set("a", 1, grouper.Report{Accounts: account(1500, 1200)})
	s.Set("b", 1, grouper.Report{Accounts: account(40, 30)})
	if r = s.TakeSum(false); len(r.Accounts) != 1 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 540, Served: 230}) || len(r.Spills) != 0 {
		t.Fatalf("sum %+v, want a demand of 540 tokens and 230 served", r)
	}
	s.Set("a", 2, grouper.Report{Accounts: account(10, 10)})
	s.Set("a", 1, grouper.Report{Accounts: account(9000, 9000)}) // a late report of the previous incarnation
	s.Set("a", 2, grouper.Report{Accounts: account(30, 30)})
	s.Remove("b")
	if r = s.TakeSum(false); len(r.Loads) != 0 || r.Accounts[0] != (sharer.Total{Account: "x", Demand: 560, Served: 250}) {
		t.Fatalf("sum %+v, want no loads, a demand of 560 tokens and 250 served", r)
	}
	if r = s.TakeSum(false); len(r.Accounts) != 0 {
		t.Errorf("the sum has unchanged totals: %+v", r)
	}
}
