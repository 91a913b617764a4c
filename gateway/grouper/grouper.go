// Package grouper divides the daemons of a large fleet into groups, one for each data
// centre, and sums up their reports. A few daemons of each group, the relays, receive
// the reports of their group, exchange sums with the relays of other groups, and send
// the total to the other daemons of their group. So most daemons exchange messages
// with their relays only. The package does no I/O.
package grouper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGroupedDaemons is the number of daemons from which a fleet is divided. In a
	// smaller fleet all daemons send each other some messages per second, which costs
	// less than the additional hops.
	minGroupedDaemons = 32
	// minRelays is the number of relays of a small group. Two relays let half of the
	// group go on without a pause when one dies.
	minRelays = 2
	// daemonsPerRelay is the number of daemons in a group for which it has one relay.
	daemonsPerRelay = 32
)

// Group is the name of a data centre whose daemons form a group; empty in a fleet that
// is not divided.
type Group string

// Daemon is a daemon of the fleet as seen by grouper.
type Daemon struct{ ID, DataCentre string }

// Plan says to which other daemons a daemon sends its reports and what it forwards.
// All lists are sorted and do not contain the daemon itself.
type Plan struct {
	// OwnGroup is the group of the daemon.
	OwnGroup Group
	// ReportRecipients get the reports of the daemon: its relays, or all daemons in a
	// fleet that is not divided.
	ReportRecipients []string
	// Members are the other daemons of the group, whether alive or not.
	Members []string
	// Relay is set if the daemon is a relay of its group.
	Relay bool
	// SumRecipients are the relays of other groups to which this relay sends the sum of
	// its group.
	SumRecipients []string
	// TotalRecipients are the members to which this relay sends the total of the fleet.
	TotalRecipients []string
	// Relays are the relays of all groups.
	Relays []string
	// Source is the relay from which this daemon gets the total; empty on relays.
	Source string
}

// Undivided reports whether the fleet is not divided into groups.
func (p Plan) Undivided() bool { return p.OwnGroup == "" }

// Member reports whether the given daemon is another daemon of the group.
func (p Plan) Member(daemon string) bool {
	_, found := slices.BinarySearch(p.Members, daemon)
	return found
}

// Recipients returns the number of messages that the daemon sends in each interval.
func (p Plan) Recipients() int {
	return len(p.ReportRecipients) + len(p.SumRecipients) + len(p.TotalRecipients)
}

// New returns the plan of the daemon self among its peers. Daemons of an unknown data
// centre belong to no group. The relays of a group are its live daemons with the
// lowest hashes; of several relays, the one that ranks first for a recipient by
// rendezvous hashing sends to it.
func New(self Daemon, peers []Daemon, live func(peer string) bool) Plan {
	if len(peers)+1 < minGroupedDaemons || self.DataCentre == "" {
		p := Plan{}
		for _, d := range peers {
			p.ReportRecipients = append(p.ReportRecipients, d.ID)
		}
		slices.Sort(p.ReportRecipients)
		return p
	}
	groups := map[Group][]string{Group(self.DataCentre): {self.ID}}
	for _, d := range peers {
		if d.DataCentre != "" {
			groups[Group(d.DataCentre)] = append(groups[Group(d.DataCentre)], d.ID)
		}
	}
	p := Plan{OwnGroup: Group(self.DataCentre)}
	alive := func(name string) bool { return name == self.ID || live(name) }
	own := relays(groups[p.OwnGroup], alive)
	p.Relay = slices.Contains(own, self.ID)
	p.Members = without(groups[p.OwnGroup], self.ID)
	p.ReportRecipients = without(own, self.ID)
	for g, names := range groups {
		if g == p.OwnGroup {
			p.Relays = append(p.Relays, without(own, self.ID)...)
			continue
		}
		for _, r := range relays(names, alive) {
			p.Relays = append(p.Relays, r)
			if sender(own, r) == self.ID {
				p.SumRecipients = append(p.SumRecipients, r)
			}
		}
	}
	if !p.Relay {
		p.Source = sender(own, self.ID)
	}
	for _, m := range p.Members {
		if p.Relay && !slices.Contains(own, m) && sender(own, m) == self.ID {
			p.TotalRecipients = append(p.TotalRecipients, m)
		}
	}
	slices.Sort(p.Relays)
	slices.Sort(p.SumRecipients)
	return p
}

// relays returns the relays of a group of daemons. If no daemon of the group is known to
// be alive, they are chosen among all: two groups that have lost each other must try.
func relays(names []string, live func(name string) bool) []string {
	count := max(minRelays, (len(names)+daemonsPerRelay-1)/daemonsPerRelay)
	var alive []string
	for _, name := range names {
		if live(name) {
			alive = append(alive, name)
		}
	}
	if len(alive) == 0 {
		alive = slices.Clone(names)
	}
	slices.SortFunc(alive, func(a, b string) int {
		return cmp.Or(cmp.Compare(relayRank(a), relayRank(b)), cmp.Compare(a, b))
	})
	return alive[:min(count, len(alive))]
}

// sender returns the relay that sends to the recipient.
func sender(relays []string, recipient string) string {
	first, best := "", uint64(0)
	for _, r := range relays {
		if rank := senderRank(r, recipient); first == "" || rank > best {
			first, best = r, rank
		}
	}
	return first
}

// without returns the sorted names except one.
func without(names []string, name string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	slices.Sort(others)
	return others
}

// relayRank orders the daemons of a group. The order differs from that of other uses
// of the hash of a name, so that the work spreads.
func relayRank(daemon string) uint64 { return xxhash.Sum64String("relay\x00" + daemon) }

// senderRank returns the weight of a relay in the choice of the one that sends to a
// recipient.
func senderRank(relay, recipient string) uint64 {
	return xxhash.Sum64String(relay + "\x00" + recipient)
}
