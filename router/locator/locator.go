// Package locator decides which daemon owns each shard of targets and each
// group of service totals. All daemons with the same view decide the same.
package locator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/configurer"
)

// TargetsPerShard is the largest mean number of targets in a shard. It keeps
// the work of one shard near 1/320 of the fleet's at 3,300 servers.
const TargetsPerShard = 12

// daemonsPerGroup is the number of daemons for each group of service totals.
const daemonsPerGroup = 20

// maxGroups bounds the messages that one shard owner sends per exchange.
const maxGroups = 16

// Policy selects how targets are shared among daemons.
type Policy string

// The policies. Fleet is the product; the others are references for
// measurement.
const (
	Fleet   Policy = "fleet"
	Central Policy = "central"
	Alone   Policy = "alone"
	Static  Policy = "static"
)

// Daemon is a member as the locator sees it.
type Daemon struct {
	ID         string
	DataCentre string
	// Eligible is false for a daemon that is shutting down.
	Eligible bool
}

// Shard is a set of targets of the same pools that one daemon schedules.
type Shard struct {
	// Key is unique in the fleet and depends on Name only.
	Key string
	// Name is "pools/dataCentre/number".
	Name string
	// Pools is sorted; every target of the shard serves all of them.
	Pools      []string
	DataCentre string
	// Targets is sorted by id and not empty.
	Targets []configurer.Target
	// Owner is the daemon that grants the slots of Targets.
	Owner string
}

// Map is an immutable assignment of shards and groups to daemons.
type Map struct {
	shards  map[string]Shard
	pools   map[string][]Shard
	daemons []Daemon
	groups  int
	policy  Policy
	self    string
	// eligible are the daemons that may own state, local the same by data
	// centre.
	eligible []candidate
	local    map[string][]candidate
}

// New computes the assignment for a configuration and a set of daemons.
func New(targets []configurer.Target, daemons []Daemon, self Daemon, policy Policy) *Map {
	m := &Map{
		shards:  map[string]Shard{},
		pools:   map[string][]Shard{},
		daemons: daemons,
		groups:  min(max(len(daemons)/daemonsPerGroup, 1), maxGroups),
		policy:  policy,
		self:    self.ID,
	}
	m.findCandidates()
	for _, s := range split(targets, policy) {
		s.Owner = m.owner(s)
		m.shards[s.Key] = s
		for _, pool := range s.Pools {
			m.pools[pool] = append(m.pools[pool], s)
		}
	}
	for _, shards := range m.pools {
		slices.SortFunc(shards, func(a, b Shard) int { return compareShards(a, b, self) })
	}
	return m
}

// compareShards orders the shards of the daemon's own data centre first, in an
// order that differs between daemons, so that their demand spreads.
func compareShards(a, b Shard, self Daemon) int {
	aLocal, bLocal := a.DataCentre == self.DataCentre, b.DataCentre == self.DataCentre
	if aLocal != bLocal {
		if aLocal {
			return -1
		}
		return 1
	}
	if weight(a.Key, self.ID) < weight(b.Key, self.ID) {
		return -1
	}
	return 1
}

// PoolKey names the shards of the same pools in all data centres.
func (s Shard) PoolKey() string { return strings.Join(s.Pools, poolSeparator) }

// Shard returns the shard with the given key.
func (m *Map) Shard(key string) (Shard, bool) {
	s, ok := m.shards[key]
	return s, ok
}

// Shards returns every shard, in no particular order.
func (m *Map) Shards() map[string]Shard { return m.shards }

// PoolShards returns the shards of a pool, the home shard first.
func (m *Map) PoolShards(pool string) []Shard { return m.pools[pool] }

// Local returns how many of the pool's shards, counted from the first, are
// scheduled with preference before demand spills to the others.
func (m *Map) Local(pool string) int {
	if m.policy != Fleet {
		return len(m.pools[pool])
	}
	return min(1, len(m.pools[pool]))
}

// Group returns the group of service totals that an account belongs to.
func (m *Map) Group(account string) int {
	return int(xxhash.Sum64String(account) % uint64(m.groups))
}

// Aggregator returns the daemon that adds up the service of a group of accounts
// in the shards of the given pools, or an empty string where totals are not
// shared.
func (m *Map) Aggregator(pools string, group int) string {
	if m.policy != Fleet {
		return ""
	}
	return highest(pools+"/"+strconv.Itoa(group), m.eligible)
}

// Poller returns the daemon of a data centre that reads the platform.
func (m *Map) Poller(dataCentre string) string {
	return highest("poller/"+dataCentre, m.local[dataCentre])
}

// Maintainer returns the daemon that keeps the stored configuration compact. It
// is a poller too, so that it reads the host list and the changes anyway.
func (m *Map) Maintainer() string {
	var pollers []candidate
	for dataCentre := range m.local {
		id := m.Poller(dataCentre)
		pollers = append(pollers, candidate{id, xxhash.Sum64String(id)})
	}
	return highest("maintainer", pollers)
}

// SlotDivisor is the number of daemons that divide a target's slots.
func (m *Map) SlotDivisor() int {
	if m.policy == Static {
		return max(len(m.daemons), 1)
	}
	return 1
}

func (m *Map) owner(s Shard) string {
	switch m.policy {
	case Alone, Static:
		return m.self
	case Central:
		return highest("central", m.eligible)
	}
	if local := m.local[s.DataCentre]; len(local) > 0 {
		return highest(s.Key, local)
	}
	return highest(s.Key, m.eligible)
}

// candidate is a daemon that may own state, with the hash of its id.
type candidate struct {
	id   string
	hash uint64
}

// findCandidates fills the lists of daemons that may own state. When all
// daemons are shutting down, all may.
func (m *Map) findCandidates() {
	var all []candidate
	m.local = map[string][]candidate{}
	for _, d := range m.daemons {
		c := candidate{d.ID, xxhash.Sum64String(d.ID)}
		all = append(all, c)
		if d.Eligible {
			m.eligible = append(m.eligible, c)
			m.local[d.DataCentre] = append(m.local[d.DataCentre], c)
		}
	}
	if len(m.eligible) == 0 {
		m.eligible = all
	}
}

// highest implements rendezvous hashing: the candidate with the highest weight
// wins, so that a change of members moves only the keys of the changed member.
func highest(key string, candidates []candidate) string {
	var best string
	var bestWeight uint64
	hash := xxhash.Sum64String(key)
	for _, c := range candidates {
		if w := mix(hash ^ c.hash); best == "" || w > bestWeight {
			best, bestWeight = c.id, w
		}
	}
	return best
}

func weight(key, id string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(id))
}

// mix is the finaliser of a 64-bit hash function: every input bit changes every
// output bit with equal probability. It lets the weight of a pair follow from
// two hashes that are computed once.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
