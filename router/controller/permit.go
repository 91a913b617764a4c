package controller

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/messenger"
	"monsoondeck.example/router/receiver"
)

// permit is a grant that a traffic goroutine of this daemon holds. It implements
// receiver.Permit.
type permit struct {
	controller *Controller
	target     configurer.Target
	account    string
	shard      string
	owner      string
	epoch      uint64
	id         uint64
	// expires is when the grant becomes unusable. It is a monotonic time, so that the
	// grant also expires while the process is paused.
	expires time.Duration
	// units holds the bits of a float64, the units used so far.
	units atomic.Uint64
	// reportedCost is the cost last reported to the owner, in tenths of a unit. It
	// belongs to the control goroutine.
	reportedCost uint64
	settled      atomic.Bool
}

// key identifies the grant among the grants of all shards and epochs.
func (p *permit) key() string { return grantKey(p.shard, p.epoch, p.id) }

func grantKey(shard string, epoch, id uint64) string {
	return shard + "#" + strconv.FormatUint(epoch, 36) + "#" + strconv.FormatUint(id, 36)
}

// Target returns the target that the grant is for.
func (p *permit) Target() configurer.Target { return p.target }

// Progress records the units used so far, for the next holdings report.
func (p *permit) Progress(units float64) { p.units.Store(math.Float64bits(units)) }

func (p *permit) unitsUsed() float64 { return math.Float64frombits(p.units.Load()) }

// CheckValid returns receiver.ErrPermitExpired if the grant has expired or the target is
// draining. It is the last check before the first byte is sent.
func (p *permit) CheckValid() error {
	if p.controller.now() > p.expires {
		return receiver.ErrPermitExpired
	}
	if p.controller.Snapshot().Draining(p.target) {
		return receiver.ErrPermitExpired
	}
	return nil
}

// Settle ends the grant; calls after the first do nothing.
func (p *permit) Settle(s receiver.Settlement) {
	if p.settled.Swap(true) {
		return
	}
	p.controller.post(settleMessage{permit: p, settlement: s})
}

// settleMessage reports that the request of a grant has ended.
type settleMessage struct {
	permit     *permit
	settlement receiver.Settlement
}

func (m settleMessage) apply(c *Controller, _ time.Duration) {
	delete(c.heldPermits, m.permit.key())
	c.settle(m.permit.shard, m.permit.owner, m.permit.epoch, messenger.Settlement{
		ID:           m.permit.id,
		Account:      m.permit.account,
		Target:       m.permit.target.ID,
		CostTenths:   unitsToTenths(m.settlement.Units),
		Result:       uint64(m.settlement.Result),
		FirstTokenMs: uint64(m.settlement.FirstToken / time.Millisecond),
		IntervalUs:   uint64(m.settlement.TokenInterval / time.Microsecond),
	})
}

// settle reports the end of a grant to the daemon that issued it and, if the shard
// has moved, to its current owner, which must charge the client account too. An issuer
// that knows the grant gets its id alone.
func (c *Controller) settle(shard, owner string, epoch uint64, s messenger.Settlement) {
	toIssuer := s
	if session := c.sessions[shard]; session != nil && session.owner == owner && session.epoch == epoch {
		toIssuer.Account, toIssuer.Target = "", ""
	}
	c.send(owner, addSettlement(shard, epoch, toIssuer))
	if current, ok := c.assignment.Shard(shard); ok && current.Owner != owner {
		c.send(current.Owner, addSettlement(shard, epoch, s))
	}
}

// addSettlement returns a function that adds a settlement to a frame, in the list of
// its shard and epoch.
func addSettlement(shard string, epoch uint64, s messenger.Settlement) func(f *messenger.Frame) {
	return func(f *messenger.Frame) {
		for i := range f.Settlements {
			if f.Settlements[i].Shard == shard && f.Settlements[i].Epoch == epoch {
				f.Settlements[i].Entries = append(f.Settlements[i].Entries, s)
				return
			}
		}
		f.Settlements = append(f.Settlements, messenger.Settlements{Shard: shard, Epoch: epoch, Entries: []messenger.Settlement{s}})
	}
}

// tenthsPerUnit converts units to the resolution of costs in messages: a prompt token
// costs a tenth of a unit.
const tenthsPerUnit = 10

func unitsToTenths(units float64) uint64 { return uint64(math.Round(max(units, 0) * tenthsPerUnit)) }

func tenthsToUnits(tenths uint64) float64 { return float64(tenths) / tenthsPerUnit }
