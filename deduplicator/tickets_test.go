package deduplicator

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// redeemer is a Tickets or a mutant of one.
type redeemer interface {
	Issue(now time.Duration, account string) (string, error)
	Redeem(now time.Duration, account, text, request string) Redemption
	Return(text string)
	Finish(text string, o Outcome, a *Answer)
}

// ticketProperty: a ticket runs at most once unless it was returned unsent,
// only for its account, and never after its lifetime; memory stays bounded.
func ticketProperty(build func(*Tickets) redeemer) func(*rapid.T) {
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
				if len(tickets.open) > s.Limit || tickets.answerBytes > s.AnswerBytes || tickets.accounts["a"] > s.AccountLimit {
					t.Fatalf("%d tickets, %d bytes", len(tickets.open), tickets.answerBytes)
				}
			},
		})
	}
}

// Guards against a ticket that runs twice or after it was forgotten.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, ticketProperty(func(k *Tickets) redeemer { return k }))
}

// forgetful runs tickets that it does not know.
type forgetful struct{ *Tickets }

func (m forgetful) Redeem(now time.Duration, account, text, request string) Redemption {
	r := m.Tickets.Redeem(now, account, text, request)
	if m.find(text) == nil {
		return Redemption{}
	}
	return r
}

// careless makes a ticket usable again after its run.
type careless struct{ *Tickets }

func (m careless) Finish(text string, _ Outcome, _ *Answer) { m.Return(text) }

// shared lets any account redeem a ticket.
type shared struct{ *Tickets }

func (m shared) Redeem(now time.Duration, account, text, request string) Redemption {
	if k := m.find(text); k != nil {
		account = k.account
	}
	return m.Tickets.Redeem(now, account, text, request)
}

// hoarding never drops an answer.
type hoarding struct{ *Tickets }

func (m hoarding) Finish(text string, o Outcome, a *Answer) {
	limit := m.settings.AnswerBytes
	m.settings.AnswerBytes = 1 << 30
	m.Tickets.Finish(text, o, a)
	m.settings.AnswerBytes = limit
}

// Guards against a property that cannot fail.
func TestTicketPropertyFindsMutants(t *testing.T) {
	for name, build := range map[string]func(*Tickets) redeemer{
		"forgetful": func(k *Tickets) redeemer { return forgetful{k} },
		"careless":  func(k *Tickets) redeemer { return careless{k} },
		"shared":    func(k *Tickets) redeemer { return shared{k} },
		"hoarding":  func(k *Tickets) redeemer { return hoarding{k} },
	} {
		if !fails(t, ticketProperty(build)) {
			t.Errorf("the property holds for mutant %s", name)
		}
	}
}
