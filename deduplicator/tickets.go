package deduplicator

import (
	"container/list"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTicketsFull means that the account or the daemon has too many open tickets.
var ErrTicketsFull = errors.New("too many open tickets")

// Defaults of TicketSettings.
const (
	defaultTickets     = 100_000
	defaultPerAccount  = 1_000
	defaultLifetime    = time.Hour
	defaultAnswerBytes = 32 << 20
)

// TicketSettings bounds the memory of Tickets. Zero values select defaults.
type TicketSettings struct {
	// Incarnation of the issuing daemon.
	Incarnation uint64
	// Limit bounds all tickets, AccountLimit those of one account.
	Limit, AccountLimit int
	// Lifetime is counted from the issue.
	Lifetime time.Duration
	// AnswerBytes bounds the answers kept for repeats.
	AnswerBytes int
}

type ticketState int

const (
	ticketIssued ticketState = iota
	ticketRedeemed
	ticketDone
)

type ticket struct {
	number  uint64
	account string
	issued  time.Duration
	state   ticketState
	record  Record
	// kept is the element in Tickets.answers, nil without an answer.
	kept *list.Element
}

// Tickets issues tickets and redeems each at most once. A ticket that is not
// in memory is never run: it has expired, or another incarnation issued it.
// Tickets is not safe for concurrent use.
type Tickets struct {
	settings TicketSettings
	next     uint64
	open     map[uint64]*ticket
	// order lists tickets by time of issue.
	order    *list.List
	accounts map[string]int
	// answers lists tickets with an answer, oldest first.
	answers     *list.List
	answerBytes int
}

// NewTickets returns an empty set of tickets.
func NewTickets(s TicketSettings) *Tickets {
	setDefault(&s.Limit, defaultTickets)
	setDefault(&s.AccountLimit, defaultPerAccount)
	setDefault(&s.Lifetime, defaultLifetime)
	setDefault(&s.AnswerBytes, defaultAnswerBytes)
	return &Tickets{settings: s, open: map[uint64]*ticket{}, order: list.New(), accounts: map[string]int{}, answers: list.New()}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Lifetime is the time from issue after which a ticket is not run.
func (t *Tickets) Lifetime() time.Duration { return t.settings.Lifetime }

// Issue returns a new ticket for the account; ErrTicketsFull.
func (t *Tickets) Issue(now time.Duration, account string) (string, error) {
	t.expire(now)
	if len(t.open) >= t.settings.Limit || t.accounts[account] >= t.settings.AccountLimit {
		return "", ErrTicketsFull
	}
	t.next++
	k := &ticket{number: t.next, account: account, issued: now}
	t.open[k.number] = k
	t.order.PushBack(k)
	t.accounts[account]++
	return formatTicket(t.settings.Incarnation, k.number), nil
}

func (t *Tickets) expire(now time.Duration) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		k := e.Value.(*ticket)
		if now-k.issued < t.settings.Lifetime {
			return
		}
		t.order.Remove(e)
		delete(t.open, k.number)
		t.forget(k)
		if t.accounts[k.account]--; t.accounts[k.account] == 0 {
			delete(t.accounts, k.account)
		}
	}
}

// forget drops the answer of a ticket.
func (t *Tickets) forget(k *ticket) {
	if k.kept == nil {
		return
	}
	t.answers.Remove(k.kept)
	t.answerBytes -= len(k.record.Answer.Body)
	k.kept, k.record.Answer = nil, nil
}

// Redemption is the result of Redeem.
type Redemption struct {
	// Verdict is VerdictNone when the caller of Redeem may run the request, and
	// must call Finish or Return.
	Verdict Verdict
	// Found is the record of the earlier redemption.
	Found Record
}

// Redeem decides whether the request of a ticket may run. request is a hash of
// the request. Tickets of other issuers get VerdictUnknown.
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
	return Redemption{Verdict: k.record.verdict(request), Found: k.record}
}

func (t *Tickets) find(text string) *ticket {
	incarnation, number, ok := parseTicket(text)
	if !ok || incarnation != t.settings.Incarnation {
		return nil
	}
	return t.open[number]
}

// Return makes a redeemed ticket usable again. It is called only when no byte
// of the request was sent.
func (t *Tickets) Return(text string) {
	if k := t.find(text); k != nil && k.state == ticketRedeemed {
		k.state, k.record = ticketIssued, Record{}
	}
}

// Finish keeps the outcome, and the answer within the bounds of memory.
func (t *Tickets) Finish(text string, o Outcome, a *Answer) {
	k := t.find(text)
	if k == nil || k.state != ticketRedeemed {
		return
	}
	k.state, k.record = ticketDone, k.record.finished(o, a)
	if k.record.Answer == nil {
		return
	}
	k.kept = t.answers.PushBack(k)
	t.answerBytes += len(k.record.Answer.Body)
	for t.answerBytes > t.settings.AnswerBytes {
		t.forget(t.answers.Front().Value.(*ticket))
	}
}

func formatTicket(incarnation, number uint64) string {
	return strconv.FormatUint(incarnation, 16) + "." + strconv.FormatUint(number, 16)
}

func parseTicket(text string) (incarnation, number uint64, ok bool) {
	i, n, found := strings.Cut(text, ".")
	incarnation, err := strconv.ParseUint(i, 16, 64)
	if !found || err != nil {
		return 0, 0, false
	}
	number, err = strconv.ParseUint(n, 16, 64)
	return incarnation, number, err == nil && formatTicket(incarnation, number) == text
}

// Issuer returns the incarnation that issued a ticket; false if text is not one.
func Issuer(text string) (uint64, bool) {
	incarnation, _, ok := parseTicket(text)
	return incarnation, ok
}
