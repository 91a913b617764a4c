package fleetclient

import (
	"fmt"
	"strings"
	"time"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// History is how one request was scheduled, as the daemon that served it tells.
type History struct {
	RequestID  string `json:"requestID"`
	Account    string `json:"account"`
	Pool       string `json:"pool"`
	Waited     int64  `json:"waitedNanoseconds"`
	Target     string `json:"target"`
	Shard      string `json:"shard"`
	Owner      string `json:"owner"`
	QueueAhead int    `json:"queueAhead"`
	GrantedAt  string `json:"grantedAt"`
}

// Histories returns empty records of histories.
func Histories() *printer.Records {
	return &printer.Records{Fields: []string{
		"requestID", "account", "pool", "waitedMs", "queueAhead", "target", "shard", "owner", "grantedAt", "daemon"}}
}

// milliseconds rounds to microseconds, which is as exact as a person needs.
func milliseconds(nanoseconds int64) float64 {
	return float64(time.Duration(nanoseconds)/time.Microsecond) / 1000
}

// PrintHistories prints what the daemons know. It fails when none knows
// anything, and names the daemons that gave no answer.
func PrintHistories(s *session.Session, r *printer.Records, answers []Answer[[]History], what string, flags printer.Flags) error {
	unreachable := Unreachable(s, answers)
	for _, a := range answers {
		for _, h := range a.Value {
			r.Add(h.RequestID, h.Account, h.Pool, milliseconds(h.Waited), h.QueueAhead, h.Target, h.Shard, h.Owner, h.GrantedAt, a.Address)
		}
	}
	if err := missing(what, len(r.Rows), unreachable); err != nil {
		return err
	}
	return s.Printer().Print(r, flags)
}

func missing(what string, found int, unreachable []string) error {
	switch {
	case found == 0 && len(unreachable) > 0:
		return failure.New(failure.CodeFailed, fmt.Sprintf("no daemon that was reached knows %s; not reached: %s", what, strings.Join(unreachable, ", ")),
			"Try again when these daemons can be reached.")
	case found == 0:
		return failure.New(failure.CodeFailed, "no daemon knows "+what, "Daemons keep the last requests only; look in the daemons' logs for older ones.")
	}
	return nil
}
