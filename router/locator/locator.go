// Package locator decides which daemon owns each shard of targets and which daemon
// aggregates each group of service totals. All daemons that know the same targets and
// members reach the same decision.
package locator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/configurer"
)

// TargetsPerShard is the maximum of the mean number of targets in the shards of one
// data centre and set of pools. With 3,300 servers, it keeps the work of one shard near
// 1/320 of the fleet's.
const TargetsPerShard = 12

// daemonsPerGroup is the number of daemons per group of service totals. A group is a
// set of client accounts whose service one daemon adds up.
const daemonsPerGroup = 20

// maxGroups limits the messages that one shard owner sends per report interval.
const maxGroups = 16

// Policy selects how the daemons share the scheduling of targets.
type Policy string

// The policies. Fleet is for production; the others are baselines for measurement.
const (
	// Fleet distributes the shards over all daemons.
	Fleet Policy = "fleet"
	// Central lets one daemon schedule all targets.
	Central Policy = "central"
	// Independent lets every daemon schedule all targets, without coordination.
	Independent Policy = "alone"
	// Static is like Independent, but each daemon uses an equal part of the slots.
	Static Policy = "static"
)

// Daemon is a member of the fleet.
type Daemon struct {
	ID         string
	DataCentre string
	// Eligible is false for a daemon that must own no shard or group, because it is
	// shutting down or suspected to have failed.
	Eligible bool
}

// Shard is a set of targets of the same pools that one daemon schedules.
type Shard struct {
	// Key is unique in the fleet and derived from Name.
	Key string
	// Name is "pools/dataCentre/number".
	Name string
	// Pools is sorted; every target of the shard serves all of them.
	Pools      []string
	DataCentre string
	// Targets is sorted by id and not empty.
	Targets []configurer.Target
	// Owner is the id of the daemon that grants the slots of Targets.
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
	// eligible lists the daemons that may own shards and groups.
	// eligibleByDataCentre lists the eligible daemons of each data centre.
	eligible             []candidate
	eligibleByDataCentre map[string][]candidate
}

// New computes the assignment for a set of targets and daemons, as seen by self.
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

// compareShards sorts the shards of the daemon's own data centre first. The order
// otherwise differs between daemons, so that their demand spreads over the shards.
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

// PoolKey identifies the shards of the same pools in all data centres.
func (s Shard) PoolKey() string { return strings.Join(s.Pools, poolSeparator) }

// Shard returns the shard with the given key.
func (m *Map) Shard(key string) (Shard, bool) {
	s, ok := m.shards[key]
	return s, ok
}

// Shards returns all shards by key.
func (m *Map) Shards() map[string]Shard { return m.shards }

// PoolShards returns the shards of a pool, preferred ones first. The order differs
// between daemons.
func (m *Map) PoolShards(pool string) []Shard { return m.pools[pool] }

// PreferredShards returns how many of the first shards in PoolShards get the pool's
// demand at once. The others get it only when a request has waited for some time.
func (m *Map) PreferredShards(pool string) int {
	if m.policy != Fleet {
		return len(m.pools[pool])
	}
	return min(1, len(m.pools[pool]))
}

// Group returns the group of service totals that a client account belongs to.
func (m *Map) Group(account string) int {
	return int(xxhash.Sum64String(account) % uint64(m.groups))
}

// Aggregator returns the daemon that adds up the service of a group of client accounts
// in the shards of the given pools, or an empty string if the policy does not share
// totals.
func (m *Map) Aggregator(pools string, group int) string {
	if m.policy != Fleet {
		return ""
	}
	return rendezvous(pools+"/"+strconv.Itoa(group), m.eligible)
}

// Poller returns the daemon of a data centre that reads the platform.
func (m *Map) Poller(dataCentre string) string {
	return rendezvous("poller/"+dataCentre, m.eligibleByDataCentre[dataCentre])
}

// Maintainer returns the daemon that compacts the stored configuration. It is one of
// the pollers, because these already read the host list and the changes.
func (m *Map) Maintainer() string {
	var pollers []candidate
	for dataCentre := range m.eligibleByDataCentre {
		id := m.Poller(dataCentre)
		pollers = append(pollers, candidate{id, xxhash.Sum64String(id)})
	}
	return rendezvous("maintainer", pollers)
}

// SlotDivisor returns the number of daemons among which a target's slots are divided.
func (m *Map) SlotDivisor() int {
	if m.policy == Static {
		return max(len(m.daemons), 1)
	}
	return 1
}

func (m *Map) owner(s Shard) string {
	switch m.policy {
	case Independent, Static:
		return m.self
	case Central:
		return rendezvous("central", m.eligible)
	}
	if local := m.eligibleByDataCentre[s.DataCentre]; len(local) > 0 {
		return rendezvous(s.Key, local)
	}
	return rendezvous(s.Key, m.eligible)
}

// candidate is a daemon that may own a shard or group, with the hash of its id.
type candidate struct {
	id   string
	hash uint64
}

// findCandidates fills the lists of eligible daemons. If no daemon is eligible, all
// daemons may own shards and groups.
func (m *Map) findCandidates() {
	var all []candidate
	m.eligibleByDataCentre = map[string][]candidate{}
	for _, d := range m.daemons {
		c := candidate{d.ID, xxhash.Sum64String(d.ID)}
		all = append(all, c)
		if d.Eligible {
			m.eligible = append(m.eligible, c)
			m.eligibleByDataCentre[d.DataCentre] = append(m.eligibleByDataCentre[d.DataCentre], c)
		}
	}
	if len(m.eligible) == 0 {
		m.eligible = all
	}
}

// rendezvous selects a candidate by rendezvous hashing: the candidate with the highest
// weight wins, so that a change of members moves only the keys of the changed member.
func rendezvous(key string, candidates []candidate) string {
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

// weight returns the rendezvous weight of a daemon for a key.
func weight(key, id string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(id))
}

// mix is the finaliser of a 64-bit hash function: every input bit changes every output
// bit with equal probability. With it, the weight of a key and a daemon is computed
// from their two hashes, each of which is computed once.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
