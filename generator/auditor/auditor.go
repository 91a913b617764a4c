// Package auditor finds, in the logs of daemons, the client accounts that were nearest to
// getting less than half of their share while their requests were refused.
package auditor

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// ErrInput marks logs that cannot be read.
var ErrInput = errors.New("log cannot be read")

const (
	// windowSeconds is the length of the windows of the users' rule on shares.
	windowSeconds = 6
	// maxRecordBytes bounds one record of a log.
	maxRecordBytes = 1 << 20
	// belowShare is the part of what the best-served account got below which what an account
	// asks for is far below every share, so that nothing that compares accounts may refuse it.
	belowShare = 0.5
	// minAskedBelowShare is the smallest demand of such an account in a window, in tokens;
	// below it a single request decides.
	minAskedBelowShare = 200_000
)

// Options are the flags of the shares command.
type Options struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of daemons [default: standard input]"`
	Top   int      `arg:"--top" default:"10" help:"number of accounts to print"`
	Below bool     `arg:"--below" help:"print accounts that asked for less than half of what the best-served one got, whether refused each second or not"`
	Codes bool     `arg:"--codes" help:"print the number of refused requests of all accounts by code instead"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "shares prints the accounts that got the smallest part of their share in six seconds in which they were refused each second, from the logs of all daemons (event 528), as JSON lines."
}

// Run runs the shares command and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload shares", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	l := newLedger()
	if len(o.Files) == 0 {
		if err := l.read(streams.In); err != nil {
			return c.Fail(commander.ExitFailed, err)
		}
	}
	for _, name := range o.Files {
		if err := l.readFile(name); err != nil {
			return c.Fail(commander.ExitFailed, err)
		}
	}
	if o.Codes {
		return commander.Print(c, []Refusals{l.refusals()})
	}
	pick := waiting
	if o.Below {
		pick = below
	}
	shortfalls := l.shortfalls(pick)
	return commander.Print(c, shortfalls[:min(len(shortfalls), max(o.Top, 0))])
}

// Shortfall is what one account got in the window in which it was worst off.
type Shortfall struct {
	From    time.Time `json:"from"`
	Account string    `json:"account"`
	// Quotient is that of Began and Due; below 0.5 the users' rule may be broken.
	Quotient float64 `json:"quotient"`
	// Asked and Began are the cost of the requests that arrived, counting again those that came
	// back after a refusal, and of those whose responses began, in tokens. Due is the smaller one, second by second, of what was asked and of what
	// the best-served account Best got.
	Asked float64 `json:"asked"`
	Began float64 `json:"began"`
	Due   float64 `json:"due"`
	Best  string  `json:"best"`
	// Hosts is the number of hosts that got its requests, Refused the number of those that
	// were refused, by code.
	Hosts   int            `json:"hosts"`
	Refused map[string]int `json:"refused"`
}

// Refusals is what was refused in all of the logs.
type Refusals struct {
	// Asked is the number of requests, counting again those that came back after a refusal.
	Asked   int            `json:"asked"`
	Refused map[string]int `json:"refused"`
}

// worse reports whether an account was worse off than in another window, also by the tokens
// if the quotients are equal.
func (s Shortfall) worse(than Shortfall) bool {
	return cmp.Or(cmp.Compare(s.Quotient, than.Quotient), cmp.Compare(than.Due, s.Due), s.From.Compare(than.From)) < 0
}

// record holds the fields of a log record that matter here.
type record struct {
	Event         int
	Host          string
	Account       string
	Second        int64
	Asked, Began  float64
	AskedRequests int
	Refused       map[string]int
}

// second holds what happened to the requests of one account in one second.
type second struct {
	asked, began float64
	refused      map[string]int
	hosts        map[string]bool
}

// ledger adds up the records by account and second of Unix time.
type ledger struct {
	accounts map[string]map[int64]*second
	// total counts the requests of all accounts, and of none.
	total Refusals
}

func newLedger() *ledger {
	return &ledger{accounts: map[string]map[int64]*second{}, total: Refusals{Refused: map[string]int{}}}
}

func (l *ledger) refusals() Refusals { return l.total }

func (l *ledger) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	defer func() { _ = f.Close() }() // nothing was written, so an error does not matter
	return l.read(f)
}

// read adds the records of a log. What precedes a record in its line is skipped, and so are
// lines without a record.
func (l *ledger) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var x record
		if start >= 0 && json.Unmarshal(lines.Bytes()[start:], &x) == nil {
			l.add(x)
		}
	}
	return errors.Mark(errors.Wrap(lines.Err(), "read a log"), ErrInput)
}

func (l *ledger) add(x record) {
	if x.Event != logger.AccountServed.Number {
		return
	}
	l.total.Asked += x.AskedRequests
	for code, n := range x.Refused {
		l.total.Refused[code] += n
	}
	if x.Account == "" {
		return // it takes no part in the shares
	}
	s := l.second(x.Account, x.Second)
	s.asked += x.Asked
	s.began += x.Began
	s.hosts[x.Host] = true
	for code, n := range x.Refused {
		s.refused[code] += n
	}
}

func (l *ledger) second(account string, at int64) *second {
	if l.accounts[account] == nil {
		l.accounts[account] = map[int64]*second{}
	}
	s := l.accounts[account][at]
	if s == nil {
		s = &second{refused: map[string]int{}, hosts: map[string]bool{}}
		l.accounts[account][at] = s
	}
	return s
}

// picker returns what was due to an account in a window; 0 if the window does not count.
type picker func(w window) float64

// waiting picks the windows in which an account was refused in each second.
func waiting(w window) float64 {
	if !w.refusedEachSecond {
		return 0
	}
	return w.Due
}

// below picks the windows in which an account asked for so little that its whole demand was
// due.
func below(w window) float64 {
	if w.Asked < minAskedBelowShare || w.Asked >= belowShare*w.bestBegan {
		return 0
	}
	return w.Asked
}

// shortfalls returns the worst of the picked windows of each account, the smallest quotient
// first.
func (l *ledger) shortfalls(pick picker) []Shortfall {
	worst := map[string]Shortfall{}
	for from := range l.starts() {
		best, most := "", -1.0
		for _, account := range slices.Sorted(maps.Keys(l.accounts)) {
			if began := l.window(account, from, nil).Began; began > most {
				best, most = account, began
			}
		}
		for account := range l.accounts {
			w := l.window(account, from, l.accounts[best])
			s := w.Shortfall
			s.Due, s.Best = pick(w), best
			if s.Due <= 0 {
				continue
			}
			s.Quotient = s.Began / s.Due
			if old, ok := worst[account]; !ok || s.worse(old) {
				worst[account] = s
			}
		}
	}
	return slices.SortedFunc(maps.Values(worst), func(a, b Shortfall) int {
		return cmp.Or(cmp.Compare(a.Quotient, b.Quotient), cmp.Compare(a.Account, b.Account))
	})
}

// starts returns the seconds at which a request arrived or began.
func (l *ledger) starts() map[int64]bool {
	starts := map[int64]bool{}
	for _, seconds := range l.accounts {
		for at := range seconds {
			starts[at] = true
		}
	}
	return starts
}

// window is what one account got in the window from a second on. Its Due holds whatever the
// window is picked for, and Quotient is not set.
type window struct {
	Shortfall
	// refusedEachSecond is set if the account was refused in each second.
	refusedEachSecond bool
	// bestBegan is the cost of what the best-served account got.
	bestBegan float64
}

// window returns what an account got in the window from a second on. best holds the seconds
// of the best-served account.
func (l *ledger) window(account string, from int64, best map[int64]*second) window {
	w := window{Shortfall: Shortfall{From: time.Unix(from, 0).UTC(), Account: account, Refused: map[string]int{}}, refusedEachSecond: true}
	hosts := map[string]bool{}
	for at := from; at < from+windowSeconds; at++ {
		if b := best[at]; b != nil {
			w.bestBegan += b.began
		}
		s := l.accounts[account][at]
		if s == nil {
			w.refusedEachSecond = false
			continue
		}
		w.Asked += s.asked
		w.Began += s.began
		if b := best[at]; b != nil {
			w.Due += min(s.asked, b.began)
		}
		w.refusedEachSecond = w.refusedEachSecond && len(s.refused) > 0
		maps.Copy(hosts, s.hosts)
		for code, n := range s.refused {
			w.Refused[code] += n
		}
	}
	w.Hosts = len(hosts)
	return w
}
