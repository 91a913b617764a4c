package gateway

import (
	"log/slog"
	"time"

	"monsoondeck.example/logger"
)

const (
	// stopMargin is the time before the kill signal at which the requests in progress
	// end.
	stopMargin = 400 * time.Millisecond
	// answerTime is the part of stopMargin in which their callers get a response.
	answerTime = 200 * time.Millisecond
	// lameDuckTime is the minimum time for which new connections are accepted after
	// the stop signal. The balancer checks readiness every second and removes a daemon
	// after two failed checks.
	lameDuckTime = 3500 * time.Millisecond
	// idleTime is how long there must have been no request before the daemon ends
	// early.
	idleTime = 700 * time.Millisecond
	// stopCheckInterval is the time between two checks of the requests in progress.
	stopCheckInterval = 50 * time.Millisecond
)

// stop turns readiness off and serves until the balancer has removed the daemon and
// all requests have ended. It returns before the kill signal in any case; requests that
// are still in progress get an error response.
func (g *Gateway) stop() {
	start := g.clock()
	end := start + g.stopTime()
	g.stopAt.Store(int64(end))
	logger.Emit(g.logger, logger.DaemonStopping, slog.Int64("inFlight", g.receiver.ActiveRequests.Load()), slog.Duration("left", end-start))
	lastActive := start
	t := time.NewTicker(stopCheckInterval)
	defer t.Stop()
	for now := start; now < end; now = g.clock() {
		if g.receiver.ActiveRequests.Load() > 0 {
			lastActive = now
		}
		if now-start >= lameDuckTime && now-lastActive >= idleTime && !g.callerServer.connections.inUse() {
			break
		}
		<-t.C
	}
	active := g.receiver.ActiveRequests.Load()
	g.endRequests()
	if active == 0 {
		logger.Emit(g.logger, logger.DaemonStopped)
		return
	}
	for g.clock() < end+answerTime && g.callerServer.connections.inUse() {
		<-t.C
	}
	logger.Emit(g.logger, logger.DaemonAborted, slog.Int64("cut", active))
}
