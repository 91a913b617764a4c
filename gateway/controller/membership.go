package controller

import (
	"iter"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/logger"
)

// updatePlan divides the fleet anew. A peer counts as live after a sign of life. All
// peers do just after the start, and while no total arrives, except the relays that
// should have sent it: otherwise a daemon would take itself for the only live one.
func (c *Controller) updatePlan(now time.Duration) {
	var peers []grouper.Daemon
	clear(c.dataCentres)
	for _, d := range c.options.Peers() {
		c.dataCentres[d.ID] = d.DataCentre
		peers = append(peers, grouper.Daemon{ID: d.ID, DataCentre: d.DataCentre})
	}
	uninformed := c.isUninformed(now)
	if uninformed && now-c.sourceSince > totalTimeout {
		c.failedRelays[c.plan.Source], c.sourceSince = now+relayRetryInterval, now
	}
	plan := grouper.New(grouper.Daemon{ID: c.options.Host, DataCentre: c.options.DataCentre}, peers, func(name string) bool {
		if now < c.failedRelays[name] {
			return false
		}
		_, heard := c.peers[name]
		return heard || now < peerTimeout || uninformed
	})
	if plan.Source != c.plan.Source {
		c.sourceSince = now
	}
	if plan.Relay != c.plan.Relay || plan.OwnGroup != c.plan.OwnGroup {
		for name := range c.sources {
			c.dropSource(name) // other daemons report the same work from now on
		}
		c.sums, c.totals = grouper.NewSums(), grouper.NewSums()
	}
	c.plan = plan
	c.sums.RemoveExcept(func(name string) bool { return name == c.options.Host || plan.Member(name) })
}

// isUninformed reports whether this daemon gets no total although it should.
func (c *Controller) isUninformed(now time.Duration) bool {
	heard, ok := c.sources[totalKey]
	return c.plan.Source != "" && (!ok || now-heard > totalTimeout)
}

// broadcastRecipients returns the daemons to which a store reader sends a change; in a
// large fleet, they forward it to their groups.
func (c *Controller) broadcastRecipients() []string {
	if c.plan.Undivided() {
		return c.plan.ReportRecipients
	}
	to := slices.Clone(c.plan.Relays)
	if c.plan.Relay {
		to = append(to, c.plan.Members...)
		slices.Sort(to)
		to = slices.Compact(to)
	}
	return to
}

// describe returns this daemon and the live ones that include accepts. It adds their
// addresses in one of addressReportPeriod full reports.
func (c *Controller) describe(include func(name string) bool) []Daemon {
	list := []Daemon{{ID: c.options.Host, Address: c.options.Address, DataCentre: c.options.DataCentre}}
	for _, d := range c.options.Peers() {
		if _, alive := c.peers[d.ID]; alive && include(d.ID) {
			list = append(list, d)
		}
	}
	if c.fullReports%addressReportPeriod != 1 {
		for i, d := range list {
			list[i] = Daemon{ID: d.ID}
		}
	}
	return list
}

// removeSilent removes the daemons without a sign of life, and the work of those that
// stopped reporting, within peerTimeout.
func (c *Controller) removeSilent(now time.Duration) {
	for name, heard := range c.peers {
		if now-heard > peerTimeout {
			c.removePeer(name, now-heard)
		}
	}
	for name, heard := range c.sources {
		if now-heard > peerTimeout {
			c.dropSource(name)
		}
	}
}

// dropSource stops counting the work that a source has reported.
func (c *Controller) dropSource(name string) {
	delete(c.sources, name)
	c.fleet.RemovePeerLoads(name)
	c.shares.RemovePeer(name)
	c.totals.Remove(name)
}

// applyDaemons records the daemons that a report lists. A full sum lists all live ones
// of its group and a full total those of the fleet, so that the others have left.
func (c *Controller) applyDaemons(now time.Duration, r PeerReport) {
	listed := map[string]bool{r.Peer: true}
	for _, d := range r.Report.Daemons {
		listed[d.ID] = true
		c.markAlive(now, d.ID, 0)
	}
	c.options.AddPeers(r.Report.Daemons)
	if len(listed) == 1 || c.plan.Undivided() || c.plan.Relay && r.Report.Total {
		return // no full list, or one that does not count here
	}
	for name := range c.peers {
		covered := r.Report.Total || r.Report.Group != "" && c.dataCentres[name] == string(r.Report.Group) && r.Report.Group != c.plan.OwnGroup
		if covered && !listed[name] {
			c.removePeer(name, 0)
		}
	}
}

// removePeer removes a daemon that has been silent for some time.
func (c *Controller) removePeer(name string, silent time.Duration) {
	delete(c.peers, name)
	c.sums.Remove(name)
	c.totals.Remove(name)
	logger.Emit(c.options.Logger, logger.MemberLeft, slog.String("member", name), slog.Duration("silent", silent))
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

// updateReader decides whether this daemon reads the store on behalf of the fleet, as
// the storeReaders live daemons whose names have the lowest hashes do.
func (c *Controller) updateReader() {
	rank := 0
	ownHash := xxhash.Sum64String(c.options.Host)
	for name := range c.livePeers() {
		if xxhash.Sum64String(name) < ownHash {
			rank++
		}
	}
	c.reader = rank < storeReaders
	c.publishFreshness()
}

// publishFreshness updates the snapshot that Freshness returns.
func (c *Controller) publishFreshness() {
	c.freshness.Store(&Freshness{
		RegistryConfirmedAt: c.registryConfirmed.at, RegistryOutage: c.registry.Outage(), Reader: c.reader, Grouped: !c.plan.Undivided(), RegistryBehindSince: c.registryBehindSince,
		RegistryReadAt: c.registryReadAt, RegistryWantedAt: c.registryWantedAt,
		EvacuationsConfirmedAt: c.evacuations.confirmed.at, EvacuationOutage: c.evacuations.outage,
		ConfigConfirmedAt: c.configConfirmed.at, ConfigBehindSince: c.configBehindSince,
	})
}

// livePeers returns the peers with a recent sign of life. Just after the start it
// returns all listed peers, because many daemons that start at once would otherwise
// all read the store until they hear from each other.
func (c *Controller) livePeers() iter.Seq[string] {
	if c.options.Clock() < peerTimeout {
		return func(yield func(string) bool) {
			for _, d := range c.options.Peers() {
				if !yield(d.ID) {
					return
				}
			}
		}
	}
	return maps.Keys(c.peers)
}

const (
	// peerTimeout is the time after which a silent peer is removed: two full reports and
	// some delay.
	peerTimeout = 2500 * time.Millisecond
	// totalTimeout is the time without a total after which a daemon takes its relay for
	// dead, and relayRetryInterval the time until the relay may be one again.
	totalTimeout       = 2500 * time.Millisecond
	relayRetryInterval = 10 * time.Second
	// addressReportPeriod is the number of full reports of which one contains addresses.
	// Peers need the addresses of daemons that joined after they read the list of
	// daemons.
	addressReportPeriod = 5
)
