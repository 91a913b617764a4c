// Package grouper divides the daemons of a large fleet into groups and sums up their
// reports. The daemons of a group exchange their reports, and one of them sends the
// sum to each daemon of another group, so that the messages of a daemon grow with
// the square root of the fleet. The package does no I/O.
package grouper

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minGroupedDaemons is the number of daemons from which a fleet is divided. In a
// smaller fleet all daemons send each other some messages per second, which costs
// less than the additional hop through a group.
const minGroupedDaemons = 32

// Group identifies one group of a divided fleet. The zero value is the whole fleet.
type Group struct {
	// Index is the number of the group, from 0 to Count-1; Count is the number of
	// groups and a power of two.
	Index, Count int
}

// Overlaps reports whether the groups can have a daemon in common. Daemons that know
// fleets of different sizes may divide them differently.
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

// groupCount returns the number of groups of a fleet: the power of two nearest to
// the square root of the number of daemons.
func groupCount(daemons int) int {
	if daemons < minGroupedDaemons {
		return 1
	}
	return 1 << int(math.Round(math.Log2(math.Sqrt(float64(daemons)))))
}

// Plan says to which other daemons a daemon sends its reports and the sum of its
// group.
type Plan struct {
	// OwnGroup is the group of the daemon.
	OwnGroup Group
	// Members are the other daemons of the group, which get the reports of the daemon.
	Members []string
	// SumRecipients are the daemons of other groups to which this daemon sends the
	// sum of its group.
	SumRecipients []string
}

// Undivided reports whether the fleet is not divided into groups.
func (p Plan) Undivided() bool { return p.OwnGroup.Count <= 1 }

// Member reports whether the given daemon belongs to the same group.
func (p Plan) Member(daemon string) bool { return Of(daemon, p.OwnGroup.Count) == p.OwnGroup }

// Recipients returns the number of daemons to which this daemon sends.
func (p Plan) Recipients() int { return len(p.Members) + len(p.SumRecipients) }

// New returns the plan of the daemon self among its peers. The sum of a group goes
// to a daemon outside from the live member that ranks first for that daemon by
// rendezvous hashing.
func New(self string, peers []string, live func(peer string) bool) Plan {
	n := groupCount(len(peers) + 1)
	p := Plan{OwnGroup: Of(self, n)}
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
		own := senderRank(self, name)
		if !slices.ContainsFunc(senders, func(s string) bool { return senderRank(s, name) > own }) {
			p.SumRecipients = append(p.SumRecipients, name)
		}
	}
	slices.Sort(p.SumRecipients)
	return p
}

// senderRank returns the weight of a member in the choice of the one that sends the
// sum to a daemon outside the group.
func senderRank(member, outside string) uint64 { return xxhash.Sum64String(member + "\x00" + outside) }
