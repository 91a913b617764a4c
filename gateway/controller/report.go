package controller

import (
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/logger"
)

// Report is what a daemon tells its peers.
type Report struct {
	// Whole reports list all targets with work.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	// Spills are those since the last report.
	Spills []placer.Spill
	// Registry is the state of the registry that the daemon knows.
	Registry RegistryMark
	// Config is the configuration that the daemon has in force.
	Config ConfigMark
	// Group is set if the report is the sum of a group of daemons.
	Group grouper.Group
	// Daemons are those that the sender has heard of lately, or only itself.
	Daemons []Daemon
}

// work returns the part of the report that is added up over a group.
func (r Report) work() grouper.Report {
	return grouper.Report{Whole: r.Whole, Loads: r.Loads, Accounts: r.Accounts, Spills: r.Spills}
}

// Daemon names a daemon. The address of its listener for peers is empty in most
// reports.
type Daemon struct{ ID, Address string }

// RegistryMark tells which state of the registry a daemon knows.
type RegistryMark struct {
	Revision, Digest uint64
	// Age is the time since the read of the registry began.
	Age time.Duration
	// Hops is the number of daemons that passed the age on.
	Hops int
}

// ConfigMark tells which configuration a daemon has in force.
type ConfigMark struct {
	// Version is 0 for none.
	Version uint64
	// Known is set if the version was known to be the newest at some time, Age the time
	// since then.
	Known bool
	Age   time.Duration
	// Hops is the number of daemons that passed the age on.
	Hops int
}

// RegistryChange is a change of the registry that a daemon has read.
type RegistryChange struct {
	registrar.Change
	// Age is the time since the read of the registry began.
	Age time.Duration
}

// PeerReport is a report of another daemon.
type PeerReport struct {
	Peer        string
	Incarnation uint64
	Report      Report
}

// report tells the peers what has changed.
func (c *Controller) report() {
	now := c.options.Clock()
	c.forgetSilent(now)
	for _, t := range c.fleet.Probes(now) {
		c.options.Probe(t)
	}
	whole := c.wholeReports == 0 || now-c.lastWhole >= wholeReport
	r := Report{Whole: whole, Loads: c.fleet.Loads(now, whole), Accounts: c.shares.Totals(whole), Spills: c.fleet.Spills()}
	r.Registry = RegistryMark{Revision: c.registry.Revision(), Digest: c.digest, Age: now - c.knownAt, Hops: c.knownHops}
	r.Config = c.configMark(now)
	c.refresh()
	if whole {
		c.lastWhole = now
		c.wholeReports++
		c.plan = grouper.New(c.options.Host, c.options.Peers(), func(name string) bool {
			_, heard := c.peers[name]
			// After the start, a daemon that takes itself for the only live one of its
			// group would send to all others.
			return heard || now < peerTimeout
		})
		c.sums.Keep(c.plan.Member)
		r.Daemons = c.daemons(nil)
	}
	if whole || len(r.Loads) > 0 || len(r.Accounts) > 0 || len(r.Spills) > 0 {
		c.options.Send(r, c.plan.Members)
	}
	c.reportSum(r)
	level := c.shares.Level(now)
	if level > maxLevel {
		level = 0
	}
	c.stats.Store(&Stats{Waiting: len(c.waiting), Placed: len(c.placed), Targets: len(c.registry.Usable()), Peers: len(c.peers), ShareLevel: level})
}

// reportInterval returns the time to the next report. Sums of many targets go more
// rarely.
func (c *Controller) reportInterval() time.Duration {
	return c.options.ReportInterval(c.plan.Recipients() * max(1, c.sumTargets/targetsPerMessage))
}

// reportSum sends the sum of the own group to the daemons outside that get it from
// this one.
func (c *Controller) reportSum(own Report) {
	if c.plan.Whole() {
		return
	}
	c.sums.Set(c.options.Host, 0, own.work())
	sum := c.sums.Sum(own.Whole)
	r := own
	r.Group, r.Whole, r.Loads, r.Accounts, r.Spills = c.plan.Own, sum.Whole, sum.Loads, sum.Accounts, sum.Spills
	if own.Whole {
		r.Daemons = c.daemons(c.plan.Members)
	}
	c.sumTargets = len(r.Loads)
	if len(c.plan.Outside) > 0 {
		c.options.Send(r, c.plan.Outside)
	}
}

// daemons returns this daemon and those of the members that are alive, every few
// reports with their addresses.
func (c *Controller) daemons(members []string) []Daemon {
	address := func(string) string { return "" }
	if c.wholeReports%addressReports == 1 {
		address = c.options.Address
	}
	list := []Daemon{{ID: c.options.Host, Address: address(c.options.Host)}}
	for _, name := range members {
		if _, alive := c.peers[name]; alive {
			list = append(list, Daemon{ID: name, Address: address(name)})
		}
	}
	return list
}

// forgetSilent forgets the daemons and groups that were not heard of for a while.
func (c *Controller) forgetSilent(now time.Duration) {
	for name, heard := range c.peers {
		if now-heard > peerTimeout {
			delete(c.peers, name)
			delete(c.direct, name)
			c.fleet.RemovePeer(name)
			c.sums.Remove(name)
			logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("member", name), slog.Duration("silent", now-heard))
		}
	}
	for g, heard := range c.groups {
		if now-heard > peerTimeout {
			delete(c.groups, g)
			c.fleet.RemovePeer(groupName(g))
		}
	}
}

// groupName is the name under which the work of a group is kept. Hosts have no
// slash in their names.
func groupName(g grouper.Group) string { return fmt.Sprintf("group/%d/%d", g.Count, g.Index) }

// takeSum takes the sum of another group. Sums of groups that overlap, from daemons
// that divide the fleet differently, replace each other, and so do reports of
// single daemons of the group.
func (c *Controller) takeSum(now time.Duration, r PeerReport) {
	g := r.Report.Group
	for _, d := range r.Report.Daemons {
		c.hear(now, d.ID, 0)
		if c.direct[d.ID] && !c.plan.Member(d.ID) {
			delete(c.direct, d.ID)
			c.fleet.RemovePeer(d.ID)
		}
	}
	c.options.Learn(r.Report.Daemons)
	if g.Overlaps(c.plan.Own) {
		return // its daemons report by themselves
	}
	for o := range c.groups {
		if o != g && o.Overlaps(g) {
			delete(c.groups, o)
			c.fleet.RemovePeer(groupName(o))
		}
	}
	c.groups[g] = now
	c.fleet.SetPeer(now, groupName(g), r.Report.Loads, r.Report.Whole)
	// Each sender has totals of its own.
	c.shares.SetPeer(now, groupName(g)+" by "+r.Peer, r.Incarnation, r.Report.Accounts)
}

// takeReport takes the report of a single daemon.
func (c *Controller) takeReport(now time.Duration, r PeerReport) {
	c.options.Learn(r.Report.Daemons)
	c.direct[r.Peer] = true
	c.fleet.SetPeer(now, r.Peer, r.Report.Loads, r.Report.Whole)
	c.shares.SetPeer(now, r.Peer, r.Incarnation, r.Report.Accounts)
	if !c.plan.Whole() && c.plan.Member(r.Peer) {
		c.sums.Set(r.Peer, r.Incarnation, r.Report.work())
	}
}

// hear notes that a daemon is alive.
func (c *Controller) hear(now time.Duration, name string, incarnation uint64) {
	if name == c.options.Host {
		return
	}
	if _, ok := c.peers[name]; !ok {
		logger.Emit(c.options.Logger, logger.MemberJoined, slog.String("member", name), slog.Uint64("incarnation", incarnation))
	}
	c.peers[name] = now
	c.heard.Store(name, now)
}

// refresh publishes how well the store is known. Of the daemons that are alive,
// the first ones by a hash of the name read it for the others.
func (c *Controller) refresh() {
	before := 0
	own := xxhash.Sum64String(c.options.Host)
	for name := range c.alive() {
		if xxhash.Sum64String(name) < own {
			before++
		}
	}
	c.freshness.Store(&Freshness{
		KnownAt: c.knownAt, Reader: before < readers, Divided: !c.plan.Whole(), BehindSince: c.behindSince,
		ConfigKnownAt: c.configKnownAt, ConfigBehindSince: c.configBehind,
	})
}

// alive returns the other daemons that were heard of lately, and just after the
// start all listed ones: many daemons that start at once would all read the store
// until they hear of each other.
func (c *Controller) alive() iter.Seq[string] {
	if c.options.Clock() < peerTimeout {
		return slices.Values(c.options.Peers())
	}
	return maps.Keys(c.peers)
}

const (
	// peerTimeout is the time after which a silent peer is forgotten: two whole
	// reports and some delay.
	peerTimeout = 2500 * time.Millisecond
	// targetsPerMessage is the number of targets in a sum that costs as much as several
	// small messages.
	targetsPerMessage = 100
	// addressReports is the number of whole reports of which one has addresses: they
	// are needed for daemons that joined after the list of daemons was read.
	addressReports = 5
	// maxLevel is beyond any share that an account can get.
	maxLevel = 1e15
)
