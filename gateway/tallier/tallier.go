// Package tallier adds up, by client account, what callers asked the model engines for and
// what was begun or refused. Its sums are complete, whatever the load, while the records of
// single requests are limited in rate.
package tallier

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// Other is the name under which the accounts beyond the limit are added up. Names of accounts
// never contain a slash.
const Other = "other/"

// Sum is what happened to the requests of one account between two calls of Take.
type Sum struct {
	// Account is empty for requests that count towards no share, Other for all accounts beyond the limit.
	Account string
	// Asked and Began are the cost in tokens of the requests that arrived and of those whose
	// responses began. Requests to plain services cost nothing.
	Asked, Began float64
	// AskedRequests and BeganRequests are the numbers of these requests.
	AskedRequests, BeganRequests int
	// Refused is the number of requests that were refused, by code.
	Refused map[string]int
}

// Tallier adds up the requests of one daemon. It is safe for concurrent use.
type Tallier struct {
	limit int

	// mutex guards the fields below.
	mutex sync.Mutex
	// sums has at most limit accounts, and Other. costs has the mean cost of the requests of
	// these accounts, and of those of the sums before.
	sums  map[string]*Sum
	costs map[string]float64
}

// New returns a Tallier that tells at most limit accounts apart between two calls of Take.
func New(limit int) *Tallier {
	return &Tallier{limit: limit, sums: map[string]*Sum{}, costs: map[string]float64{}}
}

// Asked adds a request that arrived.
func (t *Tallier) Asked(account string, cost float64) {
	t.add(account, func(s *Sum) { s.Asked += cost; s.AskedRequests++ })
}

// Began adds a request whose successful response begins.
func (t *Tallier) Began(account string, cost float64) {
	t.add(account, func(s *Sum) { s.Began += cost; s.BeganRequests++ })
}

// Refused adds a request that is refused with a code.
func (t *Tallier) Refused(account, code string) {
	t.add(account, func(s *Sum) { s.Refused[code]++ })
}

// RefusedUnread adds a request that arrived and is refused with a code before its cost is known,
// which is taken for the mean of its account.
func (t *Tallier) RefusedUnread(account, code string) {
	t.add(account, func(s *Sum) {
		s.Asked += t.costs[s.Account]
		s.AskedRequests++
		s.Refused[code]++
	})
}

func (t *Tallier) add(account string, change func(s *Sum)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.sums[account]
	if s == nil && len(t.sums) >= t.limit {
		account = Other
		s = t.sums[account]
	}
	if s == nil {
		s = &Sum{Account: account, Refused: map[string]int{}}
		t.sums[account] = s
	}
	change(s)
}

// Take returns the sums since the last call, by account.
func (t *Tallier) Take() []Sum {
	t.mutex.Lock()
	sums, costs := t.sums, map[string]float64{}
	for account, s := range sums {
		costs[account] = t.costs[account]
		if s.AskedRequests > 0 {
			costs[account] = s.Asked / float64(s.AskedRequests)
		}
	}
	t.sums, t.costs = map[string]*Sum{}, costs
	t.mutex.Unlock()
	all := make([]Sum, 0, len(sums))
	for s := range maps.Values(sums) {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Sum) int { return cmp.Compare(a.Account, b.Account) })
	return all
}
