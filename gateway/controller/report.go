package controller

import (
	"fmt"
	"time"

	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/gateway/versioner"
)

// Report is the regular message of a daemon to its peers: its work at targets, the
// service of its accounts, and the states of the store that it knows.
type Report struct {
	// Whole is set in a full report, which lists all targets with work and all accounts.
	// Other reports only list what has changed. Sums and totals always list all targets
	// with work, so that Whole is set in them also if they are not full.
	Whole    bool
	Loads    []placer.Load
	Accounts []sharer.Total
	// Recent is the service of the accounts in the whole fleet within the window of the
	// shares, as the sender knows it; only in full reports.
	Recent []sharer.Total
	// Spills are the spills since the last report.
	Spills []placer.Spill
	// Streams are those that have begun since the last report while their service had
	// several software versions.
	Streams []versioner.Batch
	// Versions is what the sender knows of the versions in service; only in full reports.
	Versions versioner.History
	// Evidence is that on prompt parts that crash targets: all of it in a full report, else
	// that since the last one. The ages are as of the time of sending.
	Evidence quarantiner.Evidence
	// Departures are targets that leave: the recent ones in a full report, else those since
	// the last one.
	Departures []registrar.Departure
	// Registry is the state of the registry that the sender knows.
	Registry RegistryState
	// Config is the state of the configuration that the sender has in force.
	Config ConfigState
	// Evacuations is the state of the evacuated data centres that the sender knows.
	Evacuations EvacuationReport
	// Group is set if the report is the sum of the reports of a group of daemons.
	Group grouper.Group
	// Total is set if the report is the sum of the reports of all daemons but the
	// recipient.
	Total bool
	// Daemons lists the sender and, in full sums and totals, the live daemons of its
	// group or of the fleet; it is empty in reports that are not full.
	Daemons []Daemon
}

// summable returns the part of the report that is added up over a group.
func (r Report) summable() grouper.Report {
	return grouper.Report{Complete: r.Whole, AllAccounts: r.hasAllAccounts(), Loads: r.Loads, Accounts: r.Accounts, Spills: r.Spills, Streams: r.Streams}
}

// hasAllAccounts reports whether Accounts has all accounts. Whole does not tell full sums and
// totals from others, but only full ones list daemons.
func (r Report) hasAllAccounts() bool { return len(r.Daemons) > 0 }

// Daemon is the name of a daemon, its peer address and its data centre; the latter two
// are empty in most reports.
type Daemon struct{ ID, Address, DataCentre string }

// RegistryState identifies the state of the registry that a daemon knows.
type RegistryState struct {
	registrar.Moment
	Digest uint64
	// Age is the time since the state is known to have been the newest, counted from the
	// start of the read of the registry, at the time of sending.
	Age time.Duration
	// StoreTime is the time of the store's clock at which it was; 0 means unknown.
	StoreTime time.Duration
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
	// StoreTime is the time of the store's clock at which it was; 0 means unknown.
	StoreTime time.Duration
	// Hops is the number of daemons that forwarded the age.
	Hops int
}

// RegistryChange is a change of the registry that a daemon has read.
type RegistryChange struct {
	registrar.Change
	// Age is the time since the read of the registry started, at the time of sending.
	Age time.Duration
	// StoreTime is the time of the store's clock at the read; 0 means unknown.
	StoreTime time.Duration
	// Hops is the number of daemons that forwarded the change.
	Hops int
}

// PeerReport is a report together with its sender.
type PeerReport struct {
	Peer        string
	Incarnation uint64
	Report      Report
}

// sendReport starts probes that are due and sends a report to the relays of the group,
// or to all peers of a small fleet. A relay also sends the sum of its group to the
// relays of other groups, and the total of the fleet to the daemons of its group.
func (c *Controller) sendReport() {
	now := c.options.Clock()
	c.removeSilent(now)
	for _, t := range c.fleet.StartDueProbes(now) {
		c.options.Probe(t)
	}
	whole := c.fullReports == 0 || now-c.lastFullReport >= fullReportInterval
	c.versions.Confirm(now, c.registryConfirmed.at)
	r := Report{Whole: whole, Loads: c.fleet.TakeLoads(now, whole), Accounts: c.shares.TakeTotals(whole), Spills: c.fleet.TakeSpills(), Streams: c.versions.TakeNews(now)}
	r.Registry = c.registryState(now)
	r.Config = c.configState(now)
	c.confirmEvacuationsWhileWatching()
	c.updateEvacuations(now, "end of the hold")
	r.Evacuations = c.evacuationReport(now)
	if c.registry.Settle(now) {
		c.setTargets(c.registry.Usable())
	}
	c.updateCold(now)
	c.checkSuspicions(now)
	c.updateLimits(now)
	r.Evidence = c.takeEvidence(now, whole)
	r.Departures = c.takeDepartures(now, whole)
	if whole {
		c.lastFullReport = now
		c.fullReports++
		c.updatePlan(now)
		c.quarantine.Expire(now)
		c.versions.Expire(now)
		c.updateQuarantine(now)
	}
	c.updateReader()
	if whole {
		r.Daemons = c.describe(func(string) bool { return false })
		r.Recent, r.Versions = c.shares.Recent(now), c.publishVersions(now)
		if c.plan.Undivided() {
			r.Streams = c.versions.RepeatNews(now)
		}
	}
	// In a large fleet, the others learn only from the readers' reports how recent their
	// state of the store is.
	if whole || len(r.Loads) > 0 || len(r.Accounts) > 0 || len(r.Spills) > 0 || len(r.Streams) > 0 || !r.Evidence.Empty() || len(r.Departures) > 0 || c.evacuations.news || c.reader && !c.plan.Undivided() {
		c.options.SendReport(r, c.plan.ReportRecipients)
		c.evacuations.news = false
	}
	if c.plan.Relay {
		c.sendSum(now, r)
		c.sendTotals(now, r)
	}
	c.publishService(now)
	level := c.shares.FairShare(now)
	if level > maxShareLevel {
		level = 0
	}
	c.stats.Store(&Stats{
		Waiting: len(c.waiting), Placed: len(c.placed), Targets: len(*c.usableTargets.Load()), Peers: len(c.peers), Quarantined: len(c.quarantined),
		Limited: len(c.limits), Cold: len(c.coldTargets), Evacuated: len(c.evacuations.inForce), ShareLevel: level,
	})
}

// reportInterval returns the time until the next report. Members of a large group
// report less often, so that the number of messages that a relay receives is bounded.
func (c *Controller) reportInterval() time.Duration {
	if c.plan.Undivided() || c.plan.Relay {
		return c.options.ReportInterval(c.plan.Recipients())
	}
	return c.options.ReportInterval(len(c.plan.Members) / membersPerRecipient)
}

// sendSum sends the sum of the own group to relays of other groups.
func (c *Controller) sendSum(now time.Duration, own Report) {
	c.sums.Set(now, c.options.Host, 0, own.summable())
	sum := c.sums.TakeSum(now, own.Whole)
	r := own
	r.Group, r.Whole, r.Loads, r.Accounts, r.Spills, r.Streams = c.plan.OwnGroup, sum.Complete, sum.Loads, sum.Accounts, sum.Spills, sum.Streams
	if own.Whole {
		r.Daemons = c.describe(c.plan.Member)
	}
	if len(c.plan.SumRecipients) > 0 {
		c.options.SendReport(r, c.plan.SumRecipients)
	}
}

// sendTotals sends the total of the fleet to daemons of the group, to each without its
// own part.
func (c *Controller) sendTotals(now time.Duration, own Report) {
	c.totals.Set(now, c.options.Host, 0, own.summable())
	total := c.totals.TakeSum(now, own.Whole)
	r := own
	r.Total = true
	if own.Whole {
		r.Daemons = c.describe(func(string) bool { return true })
	}
	for _, m := range c.plan.TotalRecipients {
		sum := c.totals.Without(m, total)
		r.Whole, r.Loads, r.Accounts, r.Spills, r.Streams = sum.Complete, sum.Loads, sum.Accounts, sum.Spills, sum.Streams
		c.options.SendReport(r, []string{m})
	}
}

// applyReport applies the report of a daemon, a sum or a total. In a large fleet,
// relays count the reports of their group and the sums of other groups, other daemons
// only the totals of one relay, so that no work counts twice.
func (c *Controller) applyReport(now time.Duration, r PeerReport) {
	c.applyDaemons(now, r)
	key := r.Peer
	switch {
	case r.Report.Total:
		if key = totalKey; c.plan.Relay || c.plan.Undivided() || !c.acceptTotal(now, r.Peer) {
			return
		}
		if c.totalRelay != r.Peer {
			// Relays count the service of the fleet from different times on.
			c.shares.RemovePeer(totalKey)
			c.totalRelay = r.Peer
		}
	case r.Report.Group != "":
		if key = groupKey(r.Report.Group, r.Peer); !c.plan.Relay || r.Report.Group == c.plan.OwnGroup {
			return
		}
		if old, ok := c.groupSources[r.Report.Group]; ok && old != key {
			c.dropSource(old)
		}
		c.groupSources[r.Report.Group] = key
	case !c.plan.Undivided() && !(c.plan.Relay && c.plan.Member(r.Peer)):
		return
	}
	c.sources[key] = now
	c.fleet.AddPeerSpills(now, r.Report.Spills)
	c.versions.Learn(now, r.Report.Streams)
	c.fleet.SetPeerLoads(now, key, r.Report.Loads, r.Report.Whole)
	c.shares.SetPeer(now, key, r.Incarnation, r.Report.Accounts, r.Report.hasAllAccounts())
	c.shares.LearnRecent(now, key, r.Incarnation, r.Report.Recent)
	if c.plan.Relay {
		c.totals.Set(now, key, r.Incarnation, r.Report.summable())
		if r.Report.Group == "" {
			c.sums.Set(now, key, r.Incarnation, r.Report.summable())
		}
	}
}

// acceptTotal reports whether the totals of a relay count: those of the chosen one,
// and of others until the chosen one sends.
func (c *Controller) acceptTotal(now time.Duration, relay string) bool {
	if relay == c.plan.Source {
		c.lastChosenTotal = now
		return true
	}
	return now-c.lastChosenTotal > totalTimeout
}

// totalKey is the key under which the work in totals is stored beside that of daemons,
// and groupKey returns that for a sum. They contain a slash, which names of daemons
// never do.
const totalKey = "total/"

func groupKey(g grouper.Group, relay string) string { return fmt.Sprintf("group/%s/%s", g, relay) }

const (
	// membersPerRecipient is the number of members of a group whose reports cost a relay
	// as much as one message that it sends.
	membersPerRecipient = 2
	// maxShareLevel is beyond any share that an account can receive; a higher level means
	// that there is no limit.
	maxShareLevel = 1e15
)
