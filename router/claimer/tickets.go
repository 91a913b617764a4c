package claimer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/deduplicator"
)

// errDispatched stops a second dispatch of a ticket.
var errDispatched = errors.New("the ticket has been used")

// Tickets is deduplicator.Tickets with a clock, safe for concurrent use.
type Tickets struct {
	start   time.Time
	mutex   sync.Mutex
	tickets *deduplicator.Tickets
}

// NewTickets returns an empty set of tickets.
func NewTickets(s deduplicator.TicketSettings) *Tickets {
	return &Tickets{start: time.Now(), tickets: deduplicator.NewTickets(s)}
}

// Issue returns a new ticket and its lifetime; deduplicator.ErrTicketsFull.
func (t *Tickets) Issue(account string) (string, time.Duration, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	text, err := t.tickets.Issue(time.Since(t.start), account)
	return text, t.tickets.Lifetime(), err
}

// Redeem returns the attempt to run the request of a ticket.
func (t *Tickets) Redeem(account, text, request string) *Ticket {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return &Ticket{tickets: t, text: text, redemption: t.tickets.Redeem(time.Since(t.start), account, text, request)}
}

// Ticket is one attempt to run the request of a ticket. It has the methods of
// Claim.
type Ticket struct {
	tickets    *Tickets
	text       string
	redemption deduplicator.Redemption
	// dispatched and ended are guarded by tickets.mutex.
	dispatched, ended bool
}

// Verdict says whether the request may run (VerdictNone) or why not.
func (k *Ticket) Verdict() deduplicator.Verdict { return k.redemption.Verdict }

// Found is the record of the earlier redemption.
func (k *Ticket) Found() deduplicator.Record { return k.redemption.Found }

// Dispatch is called right before the first byte is sent; it permits one run.
func (k *Ticket) Dispatch() error {
	k.tickets.mutex.Lock()
	defer k.tickets.mutex.Unlock()
	if k.dispatched || k.ended || k.redemption.Verdict != deduplicator.VerdictNone {
		return errDispatched
	}
	k.dispatched = true
	return nil
}

// Cancel makes the ticket usable again if the request was not dispatched.
func (k *Ticket) Cancel() {
	k.tickets.mutex.Lock()
	defer k.tickets.mutex.Unlock()
	if k.dispatched || k.ended || k.redemption.Verdict != deduplicator.VerdictNone {
		return
	}
	k.ended = true
	k.tickets.tickets.Return(k.text)
}

// Finish keeps the outcome of the run and its answer, if there is one.
func (k *Ticket) Finish(o deduplicator.Outcome, a *deduplicator.Answer) {
	k.tickets.mutex.Lock()
	defer k.tickets.mutex.Unlock()
	if k.dispatched && !k.ended {
		k.ended = true
		k.tickets.tickets.Finish(k.text, o, a)
	}
}
