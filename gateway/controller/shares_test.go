package controller_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/sharer"
)

// accountReport returns a report of a peer with the cumulative service of one account.
func accountReport(peer string, total bool, served float64) controller.PeerReport {
	return controller.PeerReport{Peer: peer, Incarnation: 1, Report: controller.Report{Total: total, Accounts: []sharer.Total{{Account: "a", Demand: served, Served: served}}}}
}

// knownService returns the service of the account that a daemon knows.
func knownService(t *testing.T, c *testController, id uint64) float64 {
	t.Helper()
	d := demand(id)
	d.Account, d.CountsTowardsShare = "a", true
	p, err := c.Wait(context.Background(), d)
	if err != nil && !errors.Is(err, receiver.ErrRefused) {
		t.Fatal(err)
	}
	if err == nil {
		p.End(placer.Unsent)
	}
	return p.Decision().Standing.Served
}

// Guards against FAIR: service of a long time that counts as service of one moment, once
// because a peer was silent, once because another relay sent the totals meanwhile. Accounts
// that got their share count as over it then.
func TestServiceOfALongTimeIsNotCountedAtOnce(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(3 * time.Second))
	small := start(t, func(o *controller.Options) {
		o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
		o.Peers = func() []controller.Daemon { return []controller.Daemon{{ID: "p"}} }
	})
	small.Received(accountReport("p", false, 1e6))
	small.Received(accountReport("p", false, 1e6+1000))
	if got := knownService(t, small, 1); got != 1000 {
		t.Fatalf("served %v, want 1000", got)
	}
	waitUntil(func() bool { return small.Stats().Peers == 1 })
	clock.Add(int64(3 * time.Second))
	waitUntil(func() bool { return small.Stats().Peers == 0 })
	small.Received(accountReport("p", false, 9e6))
	if got := knownService(t, small, 2); got != 1000 {
		t.Errorf("served %v after a silence of the peer, want 1000", got)
	}

	large := start(t, func(o *controller.Options) {
		o.Host, o.DataCentre = daemonName(0), dataCentreName(0)
		o.Clock = func() time.Duration { return 3 * time.Second }
		o.Peers = func() []controller.Daemon { return otherDaemons(0, 48) }
	})
	for i, r := range []controller.PeerReport{
		accountReport("x", true, 1e6), accountReport("x", true, 1e6+1000), accountReport("y", true, 5e6), accountReport("x", true, 9e6), accountReport("x", true, 9e6+500),
	} {
		large.Received(r)
		if got, want := knownService(t, large, uint64(i+1)), []float64{0, 1000, 1000, 1000, 1500}[i]; got != want {
			t.Errorf("served %v after total %d, want %v", got, i, want)
		}
	}
}

// Guards against FAIR: hosts that have just started, or lost their relay, know too little of
// the service of the largest accounts and serve them before others.
func TestStartedDaemonLearnsTheRecentService(t *testing.T) {
	c := start(t, func(o *controller.Options) {
		o.Host, o.DataCentre = daemonName(0), dataCentreName(0)
		o.Clock = func() time.Duration { return 3 * time.Second }
		o.Peers = func() []controller.Daemon { return otherDaemons(0, 48) }
	})
	r := accountReport("x", true, 1e6)
	c.Received(r) // a report that is not complete
	r.Report.Whole, r.Report.Recent = true, []sharer.Total{{Account: "a", Demand: 7e5, Served: 4e5}}
	for i := range 3 {
		c.Received(r)
		if got := knownService(t, c, uint64(i+1)); got != 4e5 {
			t.Errorf("served %v after complete report %d, want 4e5", got, i)
		}
	}
}

// Guards against FAIR and LOST: an account that is refused as over its share because all the
// service that a peer has given it since its start counts as service of one moment. The first
// report after a silence, a start, or a change of the relay sets the baseline; one that is not
// complete lists only some of the accounts.
func TestIncompleteFirstReportDoesNotCountOldService(t *testing.T) {
	const lifetime, recent = 1e6, 500
	report := func(total, whole bool, accounts ...sharer.Total) controller.PeerReport {
		return controller.PeerReport{Peer: "p", Incarnation: 1, Report: controller.Report{Total: total, Whole: whole, Accounts: accounts}}
	}
	served := func(account string, n float64) sharer.Total {
		return sharer.Total{Account: account, Demand: n, Served: n}
	}
	for name, c := range map[string]struct{ total, silent bool }{
		"peer after a silence":     {silent: true},
		"peer of a started daemon": {},
		"new relay":                {total: true},
	} {
		t.Run(name, func(t *testing.T) {
			var clock atomic.Int64
			clock.Store(int64(3 * time.Second))
			d := start(t, func(o *controller.Options) {
				o.Clock = func() time.Duration { return time.Duration(clock.Load()) }
				o.Peers = func() []controller.Daemon { return []controller.Daemon{{ID: "p"}} }
				if c.total {
					o.Host, o.DataCentre = daemonName(0), dataCentreName(0)
					o.Peers = func() []controller.Daemon { return otherDaemons(0, 48) }
				}
			})
			if c.silent {
				d.Received(report(false, true, served("a", lifetime), served("b", lifetime)))
				waitUntil(func() bool { return d.Stats().Peers == 1 })
				clock.Add(int64(3 * time.Second))
				waitUntil(func() bool { return d.Stats().Peers == 0 })
			}
			// Totals always have all loads, so that they are marked as whole. Those that list no
			// daemons leave out accounts like other reports that are not complete.
			d.Received(report(c.total, c.total, served("b", lifetime)))        // "a" had no request since the last report
			d.Received(report(c.total, c.total, served("a", lifetime+recent))) // now it had one
			if got := knownService(t, d, 1); got > recent {
				t.Errorf("served %v in the window, want at most %v", got, recent)
			}
		})
	}
}

// Guards against FAIR: service of an account that is new at a peer is missing in the shares,
// although the peer had reported all its accounts before.
func TestServiceOfNewAccountsIsCountedAfterAFullReport(t *testing.T) {
	for name, total := range map[string]bool{"report of a peer": false, "total of a relay": true} {
		t.Run(name, func(t *testing.T) {
			d := start(t, func(o *controller.Options) {
				o.Clock = func() time.Duration { return 3 * time.Second }
				o.Peers = func() []controller.Daemon { return []controller.Daemon{{ID: "p"}} }
				if total {
					o.Host, o.DataCentre = daemonName(0), dataCentreName(0)
					o.Peers = func() []controller.Daemon { return otherDaemons(0, 48) }
				}
			})
			full := accountReport("p", total, 0)
			full.Report.Whole, full.Report.Accounts, full.Report.Daemons = true, nil, []controller.Daemon{{ID: "p"}}
			d.Received(full)
			d.Received(accountReport("p", total, 500))
			if got := knownService(t, d, 1); got != 500 {
				t.Errorf("served %v in the window, want 500", got)
			}
		})
	}
}

// Guards against FAIR: a relay leaves out the service of an account that is new at a member,
// although the member had reported all its accounts before.
func TestRelayPassesOnServiceOfNewAccounts(t *testing.T) {
	const daemons = 48
	var others []controller.Daemon
	var plan grouper.Plan
	host := ""
	for i := 0; !plan.Relay; i++ {
		var peers []grouper.Daemon
		others, host = otherDaemons(i, daemons), daemonName(i)
		for _, d := range others {
			peers = append(peers, grouper.Daemon{ID: d.ID, DataCentre: d.DataCentre})
		}
		plan = grouper.New(grouper.Daemon{ID: host, DataCentre: dataCentreName(i)}, peers, func(string) bool { return true })
	}
	d := start(t, func(o *controller.Options) {
		o.Host, o.DataCentre = host, string(plan.OwnGroup)
		o.Clock = func() time.Duration { return time.Second }
		o.Peers = func() []controller.Daemon { return others }
	})
	member := plan.Members[0]
	full := accountReport(member, false, 0)
	full.Report.Whole, full.Report.Accounts, full.Report.Daemons = true, nil, []controller.Daemon{{ID: member}}
	d.Received(full)
	d.Received(accountReport(member, false, 500))
	d.Received(accountReport(member, false, 700))
	most := 0.0
	waitUntil(func() bool {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		for _, r := range d.reports {
			for _, a := range r.Accounts {
				if r.Total {
					most = max(most, a.Served)
				}
			}
		}
		return most > 0
	})
	if most < 500 {
		t.Errorf("the totals have %v of the account, want 500 or 700", most)
	}
}
