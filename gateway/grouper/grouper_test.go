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

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("h-%d", i)
	}
	return all
}

func others(all []string, self string) []string {
	var peers []string
	for _, name := range all {
		if name != self {
			peers = append(peers, name)
		}
	}
	return peers
}

// Guards against a daemon that some group does not reach, or that two members of
// one group send sums, with any daemons dead as long as the group has a live one.
func TestEveryDaemonHearsOfEveryGroupOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 200).Draw(t, "daemons"))
		dead := map[string]bool{}
		for range rapid.IntRange(0, len(all)/2).Draw(t, "dead") {
			dead[all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]] = true
		}
		heard := map[string]map[grouper.Group]int{}
		alive := map[grouper.Group]bool{}
		for _, self := range all {
			if dead[self] {
				continue
			}
			p := grouper.New(self, others(all, self), func(peer string) bool { return !dead[peer] })
			alive[p.Own] = true
			for _, to := range append(p.Members, p.Outside...) {
				if heard[to] == nil {
					heard[to] = map[grouper.Group]int{}
				}
				heard[to][p.Own]++
			}
		}
		for _, self := range all {
			own := grouper.New(self, others(all, self), func(string) bool { return true }).Own
			for g := range alive {
				if n := heard[self][g]; g != own && n != 1 {
					t.Fatalf("%s hears %d times of group %v", self, n, g)
				}
			}
		}
	})
}

// Load: a fleet that grows. Guards against messages that grow with the fleet.
func TestRecipientsGrowWithTheSquareRoot(t *testing.T) {
	for _, n := range []int{40, 83, 300, 1000} {
		all := names(n)
		most := 0
		for _, self := range all {
			most = max(most, grouper.New(self, others(all, self), func(string) bool { return true }).Recipients())
		}
		// Both parts are the square root on average; hashing spreads them unevenly.
		if bound := 5 * math.Sqrt(float64(n)); float64(most) > bound {
			t.Errorf("a daemon of %d sends to %d others, more than %.0f", n, most, bound)
		}
	}
}

// Guards against counting work twice when daemons divide the fleet differently.
func TestGroupsOfDifferentSizesOverlap(t *testing.T) {
	for _, name := range names(100) {
		eight, sixteen := grouper.Of(name, 8), grouper.Of(name, 16)
		if !eight.Overlaps(sixteen) || !sixteen.Overlaps(eight) || !eight.Overlaps(grouper.Group{}) {
			t.Errorf("the groups %v and %v of %s do not overlap", eight, sixteen, name)
		}
	}
	if (grouper.Group{Index: 1, Count: 8}).Overlaps(grouper.Group{Index: 2, Count: 16}) {
		t.Error("groups without a daemon in common overlap")
	}
}

// Guards against sums that lose or repeat service when a member starts again, and
// against work of members that left.
func TestSumsFollowTheMembers(t *testing.T) {
	s := grouper.NewSums()
	load := func(unread float64, running int) []placer.Load {
		return []placer.Load{{Target: placer.KeyOf("e"), Unread: unread, Running: running, Memory: 10}}
	}
	account := func(asked, served float64) []sharer.Total {
		return []sharer.Total{{Account: "x", Asked: asked, Served: served}}
	}
	s.Set("a", 1, grouper.Report{Loads: load(100, 1), Accounts: account(1000, 1000)})
	s.Set("b", 1, grouper.Report{Loads: load(50, 2), Accounts: account(0, 0), Spills: []placer.Spill{{Target: "e", Chain: 7}}})
	r := s.Sum(true)
	if len(r.Loads) != 1 || r.Loads[0] != (placer.Load{Target: placer.KeyOf("e"), Unread: 150, Running: 3, Memory: 20}) || len(r.Accounts) != 0 || len(r.Spills) != 1 || !r.Whole {
		t.Fatalf("%+v", r)
	}
	s.Set("a", 1, grouper.Report{Accounts: account(1500, 1200)})
	s.Set("b", 1, grouper.Report{Accounts: account(40, 30)})
	if r = s.Sum(false); len(r.Accounts) != 1 || r.Accounts[0] != (sharer.Total{Account: "x", Asked: 540, Served: 230}) || len(r.Spills) != 0 {
		t.Fatalf("%+v", r)
	}
	s.Set("a", 2, grouper.Report{Accounts: account(10, 10)})
	s.Set("a", 1, grouper.Report{Accounts: account(9000, 9000)}) // late, of the incarnation before
	s.Set("a", 2, grouper.Report{Accounts: account(30, 30)})
	s.Remove("b")
	if r = s.Sum(false); len(r.Loads) != 0 || r.Accounts[0] != (sharer.Total{Account: "x", Asked: 560, Served: 250}) {
		t.Fatalf("%+v", r)
	}
	if r = s.Sum(false); len(r.Accounts) != 0 {
		t.Errorf("unchanged totals are sent: %+v", r)
	}
}
