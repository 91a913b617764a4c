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
	connectionsRefused := g.listener.refusedCount.Load()
	for {
		second := time.Now().Truncate(tallyInterval)
		t := time.NewTimer(time.Until(second.Add(tallyInterval)))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		for _, s := range g.tally.Take() {
			attrs := []slog.Attr{slog.Int64("second", second.Unix()), slog.String("account", s.Account), slog.Float64("asked", s.Asked), slog.Float64("began", s.Began),
				slog.Int("askedRequests", s.AskedRequests), slog.Int("beganRequests", s.BeganRequests)}
			if len(s.Refused) > 0 {
				attrs = append(attrs, slog.Any("refused", s.Refused))
			}
			logger.Emit(g.logger, logger.AccountServed, attrs...)
		}
		refused := g.listener.refusedCount.Load()
		if n := refused - connectionsRefused; n > 0 {
			logger.Emit(g.logger, logger.HostOverload, slog.Int64("second", second.Unix()), slog.Int64("connections", n), slog.Float64("refusedShare", g.overload.refusedShare()))
		}
		connectionsRefused = refused
	}
}
