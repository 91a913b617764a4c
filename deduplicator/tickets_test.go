package deduplicator

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// ticketStore is implemented by Tickets and its mutants.
type ticketStore interface {
	Issue(now time.Duration, account string) (string, error)
	Redeem(now time.Duration, account, text, request string) Redemption
	Return(text string)
	Finish(text string, o Outcome, a *Answer)
}

// ticketProperty returns a check that a ticket permits at most one run unless it was
// returned unsent, only for its account and never after its lifetime, and that memory
// use stays bounded.
func ticketProperty(build func(*Tickets) ticketStore) func(*rapid.T) {
	return func(t *rapid.T) {
		s := TicketSettings{Incarnation: 7, Limit: 8, AccountLimit: 5, Lifetime: 10, AnswerBytes: 20}
		tickets := NewTickets(s)
		r := build(tickets)
		now := time.Duration(0)
		texts, issued := []string{"7.99", "8.1", "7.01", "x"}, map[string]time.Duration{}
		owner, running, finished := map[string]string{}, map[string]bool{}, map[string]bool{}
		account := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 4).Draw(t, "time")) },
			"issue": func(t *rapid.T) {
				a := account.Draw(t, "account")
				if text, err := r.Issue(now, a); err == nil {
					texts, issued[text], owner[text] = append(texts, text), now, a
				} else if !errors.Is(err, ErrTicketsFull) {
					t.Fatal(err)
				}
			},
			"redeem": func(t *rapid.T) {
				text, a := rapid.SampledFrom(texts).Draw(t, "ticket"), account.Draw(t, "account")
				got := r.Redeem(now, a, text, "request")
				if got.Verdict != VerdictNone {
					if got.Verdict.Outcome() == OutcomeNotRun && (running[text] || finished[text]) {
						t.Fatalf("%s is told notRun after its dispatch", text)
					}
					return
				}
				if owner[text] != a || now-issued[text] >= s.Lifetime || running[text] || finished[text] {
					t.Fatalf("%s must not run", text)
				}
				running[text] = true
			},
			"finish": func(t *rapid.T) {
				text := rapid.SampledFrom(texts).Draw(t, "ticket")
				if running[text] {
					r.Finish(text, OutcomeComplete, &Answer{Body: make([]byte, 9)})
					running[text], finished[text] = false, true
				}
			},
			"return": func(t *rapid.T) {
				text := rapid.SampledFrom(texts).Draw(t, "ticket")
				if running[text] {
					r.Return(text)
					running[text] = false
				}
			},
			"": func(t *rapid.T) {
				if len(tickets.open) > s.Limit || tickets.answerBytes > s.AnswerBytes || tickets.openPerAccount["a"] > s.AccountLimit {
					t.Fatalf("%d tickets, %d bytes", len(tickets.open), tickets.answerBytes)
				}
			},
		})
	}
}

// TestTicketsRunAtMostOnce guards against a ticket that permits two runs, or one after
// it has expired.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, ticketProperty(func(k *Tickets) ticketStore { return k }))
}

// runsUnknownTickets permits the run of a ticket that is not open.
type runsUnknownTickets struct{ *Tickets }

func (m runsUnknownTickets) Redeem(now time.Duration, account, text, request string) Redemption {
	r := m.Tickets.Redeem(now, account, text, request)
	if m.find(text) == nil {
		return Redemption{}
	}
	return r
}

// reusesFinishedTickets makes a ticket usable again after its run.
type reusesFinishedTickets struct{ *Tickets }

func (m reusesFinishedTickets) Finish(text string, _ Outcome, _ *Answer) { m.Return(text) }

// ignoresAccount lets any account redeem a ticket.
type ignoresAccount struct{ *Tickets }

func (m ignoresAccount) Redeem(now time.Duration, account, text, request string) Redemption {
	if k := m.find(text); k != nil {
		account = k.account
	}
	return m.Tickets.Redeem(now, account, text, request)
}

// keepsAllAnswers never drops an answer.
type keepsAllAnswers struct{ *Tickets }

func (m keepsAllAnswers) Finish(text string, o Outcome, a *Answer) {
	limit := m.settings.AnswerBytes
	m.settings.AnswerBytes = 1 << 30
	m.Tickets.Finish(text, o, a)
	m.settings.AnswerBytes = limit
}

// TestTicketPropertyFindsMutants guards against a property that cannot fail.
func TestTicketPropertyFindsMutants(t *testing.T) {
	for name, build := range map[string]func(*Tickets) ticketStore{
		"runsUnknownTickets":    func(k *Tickets) ticketStore { return runsUnknownTickets{k} },
		"reusesFinishedTickets": func(k *Tickets) ticketStore { return reusesFinishedTickets{k} },
		"ignoresAccount":        func(k *Tickets) ticketStore { return ignoresAccount{k} },
		"keepsAllAnswers":       func(k *Tickets) ticketStore { return keepsAllAnswers{k} },
	} {
		if !fails(t, ticketProperty(build)) {
			t.Errorf("the property holds for mutant %s", name)
		}
	}
}
