package deduplicator

import (
	"container/list"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTicketsFull is returned by Issue when the account or the daemon has too many
// open tickets.
var ErrTicketsFull = errors.New("too many open tickets")

// Defaults of TicketSettings.
const (
	defaultLimit        = 100_000
	defaultAccountLimit = 1_000
	defaultLifetime     = time.Hour
	defaultAnswerBytes  = 32 << 20
)

// TicketSettings bounds the memory of Tickets. Zero values select defaults.
type TicketSettings struct {
	// Incarnation is that of the issuing daemon.
	Incarnation uint64
	// Limit bounds the number of open tickets, AccountLimit those of one account.
	Limit, AccountLimit int
	// Lifetime is the time from the issue of a ticket to its expiry.
	Lifetime time.Duration
	// AnswerBytes bounds the bytes of the answer bodies kept for repeats.
	AnswerBytes int
}

// ticketState is the state of a ticket. ticketDone means that the run has ended.
type ticketState int

const (
	ticketIssued ticketState = iota
	ticketRedeemed
	ticketDone
)

// ticket is a ticket that has not expired.
type ticket struct {
	number   uint64
	account  string
	issuedAt time.Duration
	state    ticketState
	// record is set from the redemption on.
	record Record
	// answerElement is the element in Tickets.answerOrder, nil without an answer.
	answerElement *list.Element
}

// Tickets issues tickets, each of which permits one run of a request, and redeems
// each at most once. A ticket that is not in memory never permits a run: it has
// expired, or another incarnation issued it. Tickets is not safe for concurrent use.
type Tickets struct {
	settings TicketSettings
	// lastNumber is the number of the newest ticket.
	lastNumber uint64
	// open holds the tickets that have not expired by number.
	open map[uint64]*ticket
	// issueOrder lists the open tickets by time of issue.
	issueOrder *list.List
	// openPerAccount counts the open tickets of each account.
	openPerAccount map[string]int
	// answerOrder lists the tickets with an answer, oldest answer first.
	answerOrder *list.List
	// answerBytes is the sum of the sizes of the answer bodies.
	answerBytes int
}

// NewTickets returns a Tickets without open tickets.
func NewTickets(s TicketSettings) *Tickets {
	setDefault(&s.Limit, defaultLimit)
	setDefault(&s.AccountLimit, defaultAccountLimit)
	setDefault(&s.Lifetime, defaultLifetime)
	setDefault(&s.AnswerBytes, defaultAnswerBytes)
	return &Tickets{settings: s, open: map[uint64]*ticket{}, issueOrder: list.New(), openPerAccount: map[string]int{}, answerOrder: list.New()}
}

// setDefault sets a field that has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Lifetime returns the time from the issue of a ticket to its expiry.
func (t *Tickets) Lifetime() time.Duration { return t.settings.Lifetime }

// Issue returns the text of a new ticket for the account, or ErrTicketsFull.
func (t *Tickets) Issue(now time.Duration, account string) (string, error) {
	t.expire(now)
	if len(t.open) >= t.settings.Limit || t.openPerAccount[account] >= t.settings.AccountLimit {
		return "", ErrTicketsFull
	}
	t.lastNumber++
	k := &ticket{number: t.lastNumber, account: account, issuedAt: now}
	t.open[k.number] = k
	t.issueOrder.PushBack(k)
	t.openPerAccount[account]++
	return formatTicket(t.settings.Incarnation, k.number), nil
}

// expire removes the tickets whose lifetime has ended.
func (t *Tickets) expire(now time.Duration) {
	for e := t.issueOrder.Front(); e != nil; e = t.issueOrder.Front() {
		k := e.Value.(*ticket)
		if now-k.issuedAt < t.settings.Lifetime {
			return
		}
		t.issueOrder.Remove(e)
		delete(t.open, k.number)
		t.dropAnswer(k)
		if t.openPerAccount[k.account]--; t.openPerAccount[k.account] == 0 {
			delete(t.openPerAccount, k.account)
		}
	}
}

// dropAnswer drops the answer of a ticket, if any, and keeps the outcome.
func (t *Tickets) dropAnswer(k *ticket) {
	if k.answerElement == nil {
		return
	}
	t.answerOrder.Remove(k.answerElement)
	t.answerBytes -= len(k.record.Answer.Body)
	k.answerElement, k.record.Answer = nil, nil
}

// Redemption is the result of Redeem.
type Redemption struct {
	// Verdict is VerdictNone if the caller of Redeem may run the request; it must
	// then call Finish or Return.
	Verdict Verdict
	// Found is the record of the earlier redemption, if there was one.
	Found Record
}

// Redeem decides whether the request of a ticket may run. request is a hash of the
// request. A ticket that is not open, or was issued to another account or by another
// incarnation, gets VerdictUnknown.
func (t *Tickets) Redeem(now time.Duration, account, text, request string) Redemption {
	t.expire(now)
	k := t.find(text)
	if k == nil || k.account != account {
		return Redemption{Verdict: VerdictUnknown}
	}
	if k.state == ticketIssued {
		k.state = ticketRedeemed
		k.record = Record{Attempt: text, Request: request}
		return Redemption{}
	}
	return Redemption{Verdict: k.record.verdictFor(request), Found: k.record}
}

// find returns the open ticket with the given text, or nil.
func (t *Tickets) find(text string) *ticket {
	incarnation, number, ok := parseTicket(text)
	if !ok || incarnation != t.settings.Incarnation {
		return nil
	}
	return t.open[number]
}

// Return makes a redeemed ticket usable again. It must be called only if no byte of
// the request was sent.
func (t *Tickets) Return(text string) {
	if k := t.find(text); k != nil && k.state == ticketRedeemed {
		k.state, k.record = ticketIssued, Record{}
	}
}

// Finish stores the outcome and the answer of a run. The oldest answers are dropped
// when all of them exceed TicketSettings.AnswerBytes.
func (t *Tickets) Finish(text string, o Outcome, a *Answer) {
	k := t.find(text)
	if k == nil || k.state != ticketRedeemed {
		return
	}
	k.state, k.record = ticketDone, k.record.withOutcome(o, a)
	if k.record.Answer == nil {
		return
	}
	k.answerElement = t.answerOrder.PushBack(k)
	t.answerBytes += len(k.record.Answer.Body)
	for t.answerBytes > t.settings.AnswerBytes {
		t.dropAnswer(t.answerOrder.Front().Value.(*ticket))
	}
}

func formatTicket(incarnation, number uint64) string {
	return strconv.FormatUint(incarnation, 16) + "." + strconv.FormatUint(number, 16)
}

// parseTicket is the inverse of formatTicket; it accepts only texts that formatTicket
// returns.
func parseTicket(text string) (incarnation, number uint64, ok bool) {
	i, n, found := strings.Cut(text, ".")
	incarnation, err := strconv.ParseUint(i, 16, 64)
	if !found || err != nil {
		return 0, 0, false
	}
	number, err = strconv.ParseUint(n, 16, 64)
	return incarnation, number, err == nil && formatTicket(incarnation, number) == text
}

// Issuer returns the incarnation that issued a ticket, and false if text is not a
// ticket.
func Issuer(text string) (uint64, bool) {
	incarnation, _, ok := parseTicket(text)
	return incarnation, ok
}
