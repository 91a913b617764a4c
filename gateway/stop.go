package gateway

import (
	"log/slog"
	"time"

	"monsoondeck.example/logger"
)

const (
	// stopMargin is the time before the kill signal at which the daemon ends by itself.
	stopMargin = 400 * time.Millisecond
	// lameDuck is how long new connections are accepted after the stop signal: the
	// balancer asks each second and takes a daemon out after two misses.
	lameDuck = 3500 * time.Millisecond
	// quietTime is how long there must be no request before the daemon ends early.
	quietTime = 700 * time.Millisecond
	// stopCheck is the time between two looks at the requests in progress.
	stopCheck = 50 * time.Millisecond
)

// stop turns readiness off, serves until the balancer has noticed and the
// requests have ended, and returns before the kill signal comes.
func (g *Gateway) stop() {
	began := g.clock()
	end := began + g.stopTime()
	g.stopAt.Store(int64(end))
	logger.Emit(g.logger, logger.DaemonStopping, slog.Int64("inFlight", g.receiver.Active.Load()), slog.Duration("left", end-began))
	quiet := began
	t := time.NewTicker(stopCheck)
	defer t.Stop()
	for now := began; now < end; now = g.clock() {
		if g.receiver.Active.Load() > 0 {
			quiet = now
		}
		if now-began >= lameDuck && now-quiet >= quietTime {
			break
		}
		<-t.C
	}
	if cut := g.receiver.Active.Load(); cut > 0 {
		logger.Emit(g.logger, logger.DaemonAborted, slog.Int64("cut", cut))
		return
	}
	logger.Emit(g.logger, logger.DaemonStopped)
}
