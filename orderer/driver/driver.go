// Package driver makes the calls of an orderer.Orderer: it reads engines and
// rows, raises fencing numbers and sends orders.
package driver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/orderer"
	"monsoondeck.example/provider"
)

const (
	// refreshPeriod is the longest time between two reads of the ownership, so that
	// the Orderer gets each renewal well within a lease.
	refreshPeriod = 250 * time.Millisecond
	// callTimeout bounds each call; it is below the lease.
	callTimeout = 2 * time.Second
)

// Table is the part of the table service that holds the orders.
type Table interface {
	Read(ctx context.Context, key string) (provider.Row, error)
	Transact(ctx context.Context, conditions []provider.Condition, puts []provider.Row, deletes []string) error
}

// OwnershipSource reports what this daemon owns. Ownership is called by one goroutine.
type OwnershipSource interface {
	Ownership() orderer.Ownership
}

// Options of a Driver. Client may be nil.
type Options struct {
	Settings orderer.Settings
	Table    Table
	Source   OwnershipSource
	// Clock reads the monotonic clock that OwnershipSource uses for Ownership.RenewedAt.
	Clock  func() time.Duration
	Client *http.Client
}

// Stats counts the calls made so far, by kind, and those refused and failed.
type Stats struct {
	StateReads, RowReads, Raises, Orders, Refused, Failed uint64
	// Missing is the number of owned engines that lack a model or have not reported.
	Missing int
}

// Driver runs one Orderer.
type Driver struct {
	options Options
	core    *orderer.Orderer // used only by run
	replies chan orderer.Reply
	calls   sync.WaitGroup
	view    atomic.Pointer[orderer.View]
	stats   atomic.Pointer[Stats]
	counts  Stats // used only by run
}

// New starts a Driver. The clean-up function stops it and waits for its calls.
func New(o Options) (*Driver, func()) {
	if o.Client == nil {
		o.Client = &http.Client{}
	}
	d := &Driver{options: o, core: orderer.New(o.Settings), replies: make(chan orderer.Reply)}
	d.publish()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.run(ctx) }()
	return d, func() { cancel(); <-done; d.calls.Wait() }
}

// Serves reports false only if the target is an engine of this daemon whose last
// state lacks the model.
func (d *Driver) Serves(target, model string) bool { return d.view.Load().Serves(target, model) }

// Stats returns the counts of calls.
func (d *Driver) Stats() Stats { return *d.stats.Load() }

// run is the only goroutine that uses the core. Each call runs in a goroutine of
// its own, so that an engine that does not respond delays no other; the core has
// at most one call in flight per engine.
func (d *Driver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-d.replies:
			d.countReply(r)
			d.core.Handle(d.options.Clock(), r)
		case <-timer.C:
		}
		d.core.SetOwned(d.options.Clock(), d.options.Source.Ownership())
		actions, wait := d.core.Actions(d.options.Clock())
		for _, a := range actions {
			d.start(ctx, a)
		}
		d.publish()
		timer.Reset(min(wait, refreshPeriod))
	}
}

func (d *Driver) start(ctx context.Context, a orderer.Action) {
	d.countCall(a.Kind)
	d.calls.Go(func() {
		reply := d.call(ctx, a)
		reply.Target, reply.CallID = a.Target.ID, a.CallID
		select {
		case d.replies <- reply:
		case <-ctx.Done():
		}
	})
}

func (d *Driver) countCall(k orderer.Kind) {
	switch k {
	case orderer.ActionReadState:
		d.counts.StateReads++
	case orderer.ActionReadRow:
		d.counts.RowReads++
	case orderer.ActionRaiseFence:
		d.counts.Raises++
	case orderer.ActionSendOrder:
		d.counts.Orders++
	}
}

func (d *Driver) countReply(r orderer.Reply) {
	switch r.Result {
	case orderer.ResultRefused:
		d.counts.Refused++
	case orderer.ResultFailed:
		d.counts.Failed++
	case orderer.ResultDone:
	}
}

func (d *Driver) publish() {
	view, stats := d.core.View(), d.counts
	stats.Missing = d.core.Missing()
	d.view.Store(&view)
	d.stats.Store(&stats)
}
