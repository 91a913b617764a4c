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

// Report is the regular message of a daemon to its peers: its work at targets, the
// service of its accounts, and the states of the store that it knows.
type Report struct {
	// Whole is set in a full report, which lists all targets with work and all accounts.
	// Other reports only list what has changed.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	// Spills are the spills since the last report.
	Spills []placer.Spill
	// Registry is the state of the registry that the sender knows.
	Registry RegistryState
	// Config is the state of the configuration that the sender has in force.
	Config ConfigState
	// Group is set if the report is the sum of the reports of a group of daemons.
	Group grouper.Group
	// Daemons lists the sender and, in full sums, the live daemons of its group; it is
	// empty in reports that are not full.
	Daemons []Daemon
}

// summable returns the part of the report that is added up over a group.
func (r Report) summable() grouper.Report {
	return grouper.Report{Complete: r.Whole, Loads: r.Loads, Accounts: r.Accounts, Spills: r.Spills}
}

// Daemon is the name of a daemon and its peer address, which is empty in most
// reports.
type Daemon struct{ ID, Address string }

// RegistryState identifies the state of the registry that a daemon knows.
type RegistryState struct {
	Revision, Digest uint64
	// Age is the time since the state is known to have been the newest, counted from the
	// start of the read of the registry.
	Age time.Duration
	// Hops is the number of daemons that forwarded the age.
	Hops int
}

// ConfigState identifies the configuration that a daemon has in force.
type ConfigState struct {
	// Version is 0 before the first configuration.
	Version uint64
	// Confirmed is set if the version is known to have been the newest at some time; Age
	// is the time since then.
	Confirmed bool
	Age       time.Duration
	// Hops is the number of daemons that forwarded the age.
	Hops int
}

// RegistryChange is a change of the registry that a daemon has read.
type RegistryChange struct {
	registrar.Change
	// Age is the time since the read of the registry started.
	Age time.Duration
}

// PeerReport is a report together with its sender.
type PeerReport struct {
	Peer        string
	Incarnation uint64
	Report      Report
}

// sendReport starts probes that are due and sends a report to the group and, in a
// large fleet, the sum of the group to other daemons.
func (c *Controller) sendReport() {
	now := c.options.Clock()
	c.removeSilent(now)
	for _, t := range c.fleet.StartDueProbes(now) {
		c.options.Probe(t)
	}
	whole := c.fullReports == 0 || now-c.lastFullReport >= fullReportInterval
	r := Report{Whole: whole, Loads: c.fleet.TakeLoads(now, whole), Accounts: c.shares.TakeTotals(whole), Spills: c.fleet.TakeSpills()}
	r.Registry = RegistryState{Revision: c.registry.Revision(), Digest: c.registryDigest, Age: now - c.registryConfirmedAt, Hops: c.registryHops}
	r.Config = c.configState(now)
	c.publishFreshness()
	if whole {
		c.lastFullReport = now
		c.fullReports++
		c.plan = grouper.New(c.options.Host, c.options.Peers(), func(name string) bool {
			_, heard := c.peers[name]
			// Just after the start, all peers count as live; otherwise this daemon would
			// take itself for the only live one of its group and send to all others.
			return heard || now < peerTimeout
		})
		c.sums.RemoveExcept(c.plan.Member)
		r.Daemons = c.liveDaemons(nil)
	}
	if whole || len(r.Loads) > 0 || len(r.Accounts) > 0 || len(r.Spills) > 0 {
		c.options.SendReport(r, c.plan.Members)
	}
	c.sendSum(r)
	level := c.shares.FairShare(now)
	if level > maxShareLevel {
		level = 0
	}
	c.stats.Store(&Stats{Waiting: len(c.waiting), Placed: len(c.placed), Targets: len(c.registry.Usable()), Peers: len(c.peers), ShareLevel: level})
}

// reportInterval returns the time until the next report. Sums that list many targets
// are sent less often.
func (c *Controller) reportInterval() time.Duration {
	return c.options.ReportInterval(c.plan.Recipients() * max(1, c.lastSumTargets/targetsPerInterval))
}

// sendSum sends the sum of the own group to the daemons of other groups that receive
// it from this daemon.
func (c *Controller) sendSum(own Report) {
	if c.plan.Undivided() {
		return
	}
	c.sums.Set(c.options.Host, 0, own.summable())
	sum := c.sums.TakeSum(own.Whole)
	r := own
	r.Group, r.Whole, r.Loads, r.Accounts, r.Spills = c.plan.OwnGroup, sum.Complete, sum.Loads, sum.Accounts, sum.Spills
	if own.Whole {
		r.Daemons = c.liveDaemons(c.plan.Members)
	}
	c.lastSumTargets = len(r.Loads)
	if len(c.plan.SumRecipients) > 0 {
		c.options.SendReport(r, c.plan.SumRecipients)
	}
}

// liveDaemons returns this daemon and the live ones among members. It includes their
// addresses in one of addressReportPeriod full reports.
func (c *Controller) liveDaemons(members []string) []Daemon {
	address := func(string) string { return "" }
	if c.fullReports%addressReportPeriod == 1 {
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

// removeSilent removes the daemons and groups without a sign of life within
// peerTimeout.
func (c *Controller) removeSilent(now time.Duration) {
	for name, heard := range c.peers {
		if now-heard > peerTimeout {
			delete(c.peers, name)
			delete(c.directPeers, name)
			c.fleet.RemovePeerLoads(name)
			c.sums.Remove(name)
			logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("member", name), slog.Duration("silent", now-heard))
		}
	}
	for g, heard := range c.groups {
		if now-heard > peerTimeout {
			delete(c.groups, g)
			c.fleet.RemovePeerLoads(groupKey(g))
		}
	}
}

// groupKey returns the key under which the work of a group is stored beside that of
// daemons. It contains a slash, which names of daemons never do.
func groupKey(g grouper.Group) string { return fmt.Sprintf("group/%d/%d", g.Count, g.Index) }

// applySum applies the sum of another group. It replaces the sums of overlapping
// groups, which come from daemons that divide the fleet differently, and the reports
// of single daemons of the group, so that no work counts twice.
func (c *Controller) applySum(now time.Duration, r PeerReport) {
	g := r.Report.Group
	for _, d := range r.Report.Daemons {
		c.markAlive(now, d.ID, 0)
		if c.directPeers[d.ID] && !c.plan.Member(d.ID) {
			delete(c.directPeers, d.ID)
			c.fleet.RemovePeerLoads(d.ID)
		}
	}
	c.options.AddPeers(r.Report.Daemons)
	if g.Overlaps(c.plan.OwnGroup) {
		return // this daemon receives the reports of the group's daemons directly
	}
	for o := range c.groups {
		if o != g && o.Overlaps(g) {
			delete(c.groups, o)
			c.fleet.RemovePeerLoads(groupKey(o))
		}
	}
	c.groups[g] = now
	c.fleet.SetPeerLoads(now, groupKey(g), r.Report.Loads, r.Report.Whole)
	// The totals of a group are cumulative per sender, so each sender has its own key.
	c.shares.SetPeer(now, groupKey(g)+" by "+r.Peer, r.Incarnation, r.Report.Accounts)
}

// applyReport applies the report of a single daemon.
func (c *Controller) applyReport(now time.Duration, r PeerReport) {
	c.options.AddPeers(r.Report.Daemons)
	c.directPeers[r.Peer] = true
	c.fleet.SetPeerLoads(now, r.Peer, r.Report.Loads, r.Report.Whole)
	c.shares.SetPeer(now, r.Peer, r.Incarnation, r.Report.Accounts)
	if !c.plan.Undivided() && c.plan.Member(r.Peer) {
		c.sums.Set(r.Peer, r.Incarnation, r.Report.summable())
	}
}

// markAlive records a sign of life of a daemon.
func (c *Controller) markAlive(now time.Duration, name string, incarnation uint64) {
	if name == c.options.Host {
		return
	}
	if _, ok := c.peers[name]; !ok {
		logger.Emit(c.options.Logger, logger.MemberJoined, slog.String("member", name), slog.Uint64("incarnation", incarnation))
	}
	c.peers[name] = now
	c.lastHeard.Store(name, now)
}

// publishFreshness updates the snapshot that Freshness returns. The storeReaders
// live daemons whose names have the lowest hashes read the store on behalf of the
// fleet.
func (c *Controller) publishFreshness() {
	rank := 0
	ownHash := xxhash.Sum64String(c.options.Host)
	for name := range c.livePeers() {
		if xxhash.Sum64String(name) < ownHash {
			rank++
		}
	}
	c.freshness.Store(&Freshness{
		RegistryConfirmedAt: c.registryConfirmedAt, Reader: rank < storeReaders, Grouped: !c.plan.Undivided(), RegistryBehindSince: c.registryBehindSince,
		ConfigConfirmedAt: c.configConfirmedAt, ConfigBehindSince: c.configBehindSince,
	})
}

// livePeers returns the peers with a recent sign of life. Just after the start it
// returns all listed peers, because many daemons that start at once would otherwise
// all read the store until they hear from each other.
func (c *Controller) livePeers() iter.Seq[string] {
	if c.options.Clock() < peerTimeout {
		return slices.Values(c.options.Peers())
	}
	return maps.Keys(c.peers)
}

const (
	// peerTimeout is the time after which a silent peer is removed: two full reports and
	// some delay.
	peerTimeout = 2500 * time.Millisecond
	// targetsPerInterval is the number of targets in a sum for which the report interval
	// grows by another step; a sum of that many costs as much as several small messages.
	targetsPerInterval = 100
	// addressReportPeriod is the number of full reports of which one contains addresses.
	// Peers need the addresses of daemons that joined after they read the list of
	// daemons.
	addressReportPeriod = 5
	// maxShareLevel is beyond any share that an account can receive; a higher level means
	// that there is no limit.
	maxShareLevel = 1e15
)
