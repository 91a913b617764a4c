// Package grouper divides the daemons of a large fleet into groups. Daemons of a
// group exchange their reports, and one of them sends each daemon outside the sum
// of the group, so that the messages of a daemon grow with the square root of the
// fleet. It is pure.
package grouper

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minGrouped is the number of daemons from which there are groups. Fewer send
// each other some messages a second, which costs less than one more step.
const minGrouped = 32

// Group is one of several groups. The zero value is the whole fleet.
type Group struct {
	// Index is below Count, and Count a power of two.
	Index, Count int
}

// Overlaps reports whether the groups can have a daemon in common. Daemons that
// know fleets of different sizes may divide them differently.
func (g Group) Overlaps(o Group) bool {
	n := max(min(g.Count, o.Count), 1)
	return g.Index%n == o.Index%n
}

// Of returns the group of a daemon in a fleet that is divided into count groups.
func Of(daemon string, count int) Group {
	if count <= 1 {
		return Group{}
	}
	return Group{Index: int(xxhash.Sum64String(daemon) % uint64(count)), Count: count}
}

// count returns the number of groups of a fleet: the power of two that is nearest
// to the square root.
func count(daemons int) int {
	if daemons < minGrouped {
		return 1
	}
	return 1 << int(math.Round(math.Log2(math.Sqrt(float64(daemons)))))
}

// Plan tells a daemon whom it sends what.
type Plan struct {
	// Own is the daemon's own group.
	Own Group
	// Members are the other daemons of the group, which get the daemon's reports.
	Members []string
	// Outside are the daemons of other groups that get the sum of the group from this
	// daemon.
	Outside []string
}

// Whole reports whether the fleet is not divided.
func (p Plan) Whole() bool { return p.Own.Count <= 1 }

// Member reports whether the daemon belongs to the own group.
func (p Plan) Member(daemon string) bool { return Of(daemon, p.Own.Count) == p.Own }

// Recipients returns the number of daemons to which the daemon sends.
func (p Plan) Recipients() int { return len(p.Members) + len(p.Outside) }

// New returns the plan of a daemon among its peers. The sum of a group goes to a
// daemon outside from the live member that comes first for it; a member that is
// not heard of is not chosen.
func New(self string, peers []string, live func(peer string) bool) Plan {
	n := count(len(peers) + 1)
	p := Plan{Own: Of(self, n)}
	var senders, outside []string
	for _, name := range peers {
		switch {
		case !p.Member(name):
			outside = append(outside, name)
		default:
			p.Members = append(p.Members, name)
			if live(name) {
				senders = append(senders, name)
			}
		}
	}
	slices.Sort(p.Members)
	for _, name := range outside {
		own := rank(self, name)
		if !slices.ContainsFunc(senders, func(s string) bool { return rank(s, name) > own }) {
			p.Outside = append(p.Outside, name)
		}
	}
	slices.Sort(p.Outside)
	return p
}

// rank orders the members of a group for a daemon outside.
func rank(member, outside string) uint64 { return xxhash.Sum64String(member + "\x00" + outside) }
