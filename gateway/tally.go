package gateway

import (
	"context"
	"log/slog"
	"time"

	"monsoondeck.example/logger"
)

const (
	// maxTalliedAccounts bounds the records of event 528 in a second.
	maxTalliedAccounts = 64
	// tallyInterval is the time that the sums in events 528 and 529 cover.
	tallyInterval = time.Second
)

// logTally logs the sums of each second of Unix time, so that those of different daemons can
// be added up.
func (g *Gateway) logTally(ctx context.Context) {
	connectionsRefused, callersLeft := g.listener.refusedCount.Load(), g.listener.leftCount.Load()
	for {
		second := time.Now().Truncate(tallyInterval)
		t := time.NewTimer(time.Until(second.Add(tallyInterval)))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		covered := time.Since(second) // more than a second on a host without processor time
		for _, s := range g.tally.Take() {
			attrs := []slog.Attr{slog.Int64("second", second.Unix()), slog.Duration("covered", covered), slog.String("account", s.Account), slog.Float64("asked", s.Asked), slog.Float64("began", s.Began),
				slog.Int("askedRequests", s.AskedRequests), slog.Int("beganRequests", s.BeganRequests)}
			if len(s.Refused) > 0 {
				attrs = append(attrs, slog.Any("refused", s.Refused))
			}
			logger.Emit(g.logger, logger.AccountServed, attrs...)
		}
		refused, left := g.listener.refusedCount.Load(), g.listener.leftCount.Load()
		if refused > connectionsRefused || left > callersLeft {
			logger.Emit(g.logger, logger.HostOverload, slog.Int64("second", second.Unix()), slog.Int64("connections", refused-connectionsRefused),
				slog.Int64("callersLeft", left-callersLeft), slog.Float64("refusedShare", g.overload.refusedShare()))
		}
		connectionsRefused, callersLeft = refused, left
	}
}
