package claimer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/deduplicator"
)

// errNotDispatchable is returned by Dispatch if the request must not run.
var errNotDispatchable = errors.New("ticket was already dispatched, cancelled or rejected")

// Tickets issues tickets and redeems them. It keeps them in memory and is safe for
// concurrent use.
type Tickets struct {
	// start is the origin of the times passed to tickets.
	start   time.Time
	mutex   sync.Mutex
	tickets *deduplicator.Tickets
}

// NewTickets returns an empty set of tickets.
func NewTickets(s deduplicator.TicketSettings) *Tickets {
	return &Tickets{start: time.Now(), tickets: deduplicator.NewTickets(s)}
}

// Issue returns a new ticket and its lifetime, or deduplicator.ErrTicketsFull.
func (t *Tickets) Issue(account string) (string, time.Duration, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ticket, err := t.tickets.Issue(time.Since(t.start), account)
	return ticket, t.tickets.Lifetime(), err
}

// Redeem starts an attempt to run the request with the given hash under a ticket
// of the account.
func (t *Tickets) Redeem(account, ticket, requestHash string) *Ticket {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return &Ticket{tickets: t, ticket: ticket, redemption: t.tickets.Redeem(time.Since(t.start), account, ticket, requestHash)}
}

// Ticket is one attempt to run the request of a ticket. It has the same methods as
// Claim and is safe for concurrent use.
type Ticket struct {
	tickets *Tickets
	// ticket is the text of the ticket as the caller sends it.
	ticket     string
	redemption deduplicator.Redemption
	// dispatched and ended are guarded by tickets.mutex.
	dispatched, ended bool
}

// Verdict is VerdictNone if the request may run, otherwise the reason why not.
func (tk *Ticket) Verdict() deduplicator.Verdict { return tk.redemption.Verdict }

// Found returns the record of the earlier redemption that led to the verdict.
func (tk *Ticket) Found() deduplicator.Record { return tk.redemption.Found }

// Dispatch is called right before the first byte of the request is sent. It
// returns an error if the request must not run.
func (tk *Ticket) Dispatch() error {
	tk.tickets.mutex.Lock()
	defer tk.tickets.mutex.Unlock()
	if tk.dispatched || tk.ended || tk.redemption.Verdict != deduplicator.VerdictNone {
		return errNotDispatchable
	}
	tk.dispatched = true
	return nil
}

// Cancel makes the ticket usable again if the request was not dispatched.
func (tk *Ticket) Cancel() {
	tk.tickets.mutex.Lock()
	defer tk.tickets.mutex.Unlock()
	if tk.dispatched || tk.ended || tk.redemption.Verdict != deduplicator.VerdictNone {
		return
	}
	tk.ended = true
	tk.tickets.tickets.Return(tk.ticket)
}

// Finish stores the outcome of the run and its response, which is nil if it is not
// to be replayed.
func (tk *Ticket) Finish(o deduplicator.Outcome, a *deduplicator.Answer) {
	tk.tickets.mutex.Lock()
	defer tk.tickets.mutex.Unlock()
	if tk.dispatched && !tk.ended {
		tk.ended = true
		tk.tickets.tickets.Finish(tk.ticket, o, a)
	}
}
