package fleetclient

import (
	"fmt"
	"strings"
	"time"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// History says how one request was scheduled, as reported by the daemon that served
// it.
type History struct {
	RequestID string `json:"requestID"`
	Account   string `json:"account"`
	Pool      string `json:"pool"`
	// Waited is the time in the queue, in nanoseconds.
	Waited     int64  `json:"waitedNanoseconds"`
	Target     string `json:"target"`
	Shard      string `json:"shard"`
	Owner      string `json:"owner"`
	QueueAhead int    `json:"queueAhead"`
	GrantedAt  string `json:"grantedAt"`
}

// NewRecords returns empty records for PrintHistories.
func NewRecords() *printer.Records {
	return &printer.Records{Fields: []string{
		"requestID", "account", "pool", "waitedMs", "queueAhead", "target", "shard", "owner", "grantedAt", "daemon"}}
}

// milliseconds converts nanoseconds to milliseconds, truncated to microseconds.
func milliseconds(nanoseconds int64) float64 {
	return float64(time.Duration(nanoseconds)/time.Microsecond) / 1000
}

// PrintHistories prints the histories in the responses. It lists the daemons that did
// not respond, and fails if no daemon returned a history.
func PrintHistories(s *session.Session, r *printer.Records, responses []Response[[]History], what string, flags printer.Flags) error {
	unreachable := Unreachable(s, responses)
	for _, response := range responses {
		for _, h := range response.Value {
			r.Add(h.RequestID, h.Account, h.Pool, milliseconds(h.Waited), h.QueueAhead, h.Target, h.Shard, h.Owner, h.GrantedAt, response.Address)
		}
	}
	if err := checkFound(what, len(r.Rows), unreachable); err != nil {
		return err
	}
	return s.Printer().Print(r, flags)
}

// checkFound returns a failure if no histories of what were found.
func checkFound(what string, found int, unreachable []string) error {
	switch {
	case found == 0 && len(unreachable) > 0:
		return failure.New(failure.CodeFailed, fmt.Sprintf("no daemon that was reached knows %s; not reached: %s", what, strings.Join(unreachable, ", ")),
			"Try again when these daemons can be reached.")
	case found == 0:
		return failure.New(failure.CodeFailed, "no daemon knows "+what, "Daemons keep the last requests only; see the daemons' logs for older ones.")
	}
	return nil
}
