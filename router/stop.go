package router

import (
	"context"
	"log/slog"
	"time"

	"monsoondeck.example/logger"
)

// farewellFlush lets the last frames leave before the connections close.
const farewellFlush = 50 * time.Millisecond

// stop ends the daemon gracefully: duties move to other daemons, callers are
// served until the balancer has noticed, and every request is finished.
func (d *Daemon) stop(second <-chan struct{}) error {
	d.stopping.Store(true)
	logger.Emit(d.logger, logger.DaemonStopping, slog.Int64("inFlight", d.active.Load()))
	d.controller.Leave()
	select {
	case <-time.After(d.settings.LameDuck):
	case <-second:
		return d.abort()
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	finished := make(chan error, 1)
	go func() {
		d.drainCallers(ctx)
		finished <- d.caller.http.Shutdown(ctx)
	}()
	select {
	case err := <-finished:
		if err != nil {
			return d.abort()
		}
	case <-second:
		return d.abort()
	}
	d.controller.Farewell()
	time.Sleep(farewellFlush)
	logger.Emit(d.logger, logger.DaemonStopped)
	return nil
}

// drainCallers waits until the caller listener has accepted what waits in its
// queue and all connections have been idle for a while. Callers that go on
// connecting cannot delay the stop beyond ctx.
func (d *Daemon) drainCallers(ctx context.Context) {
	if d.caller.listener.drain(time.Now().Add(acceptDrain)) != nil {
		return // the listener is closed already
	}
	select {
	case <-d.caller.served:
		if err := d.caller.listener.filterError; err != nil {
			logger.Emit(d.logger, logger.ListenerFailed, slog.String("error", err.Error()))
		}
		d.pending.wait(ctx)
		d.pending.waitQuiet(ctx)
	case <-ctx.Done():
	}
}

// abort ends the daemon at once and says how many requests it cut.
func (d *Daemon) abort() error {
	cut := d.active.Load()
	if cut == 0 {
		logger.Emit(d.logger, logger.DaemonStopped)
		return nil
	}
	logger.Emit(d.logger, logger.DaemonAborted, slog.Int64("cut", cut))
	return ErrAborted
}
