package router

import (
	"context"
	"log/slog"
	"time"

	"monsoondeck.example/logger"
)

// finalFlushDelay is the time to send the last frames to other daemons before the
// connections close.
const finalFlushDelay = 50 * time.Millisecond

// stop ends the daemon gracefully. It hands the daemon's shards over to other
// daemons, serves new requests for the lame-duck time, in which the load balancer
// takes the daemon out of service, and waits for all requests in flight. A value on
// secondStop ends the daemon at once.
func (d *Daemon) stop(secondStop <-chan struct{}) error {
	d.stopping.Store(true)
	logger.Emit(d.logger, logger.DaemonStopping, slog.Int64("inFlight", d.active.Load()))
	d.controller.BeginShutdown()
	select {
	case <-time.After(d.settings.LameDuck):
	case <-secondStop:
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
	case <-secondStop:
		return d.abort()
	}
	d.controller.AnnounceExit()
	time.Sleep(finalFlushDelay)
	logger.Emit(d.logger, logger.DaemonStopped)
	return nil
}

// drainCallers waits until the caller listener has accepted the connections in its
// accept queue, each of them has sent its first request and all connections have
// been idle for idleGracePeriod. Callers that continue to connect cannot delay the
// stop beyond ctx.
func (d *Daemon) drainCallers(ctx context.Context) {
	if d.caller.listener.drain(time.Now().Add(acceptGracePeriod)) != nil {
		return // the listener is already closed
	}
	select {
	case <-d.caller.serveDone:
		if err := d.caller.listener.filterError; err != nil {
			logger.Emit(d.logger, logger.ListenerFailed, slog.String("error", err.Error()))
		}
		d.connections.waitForFirstRequests(ctx)
		d.connections.waitUntilIdle(ctx)
	case <-ctx.Done():
	}
}

// abort ends the daemon without waiting. It returns ErrAborted if requests were in
// flight, and logs their number.
func (d *Daemon) abort() error {
	inFlight := d.active.Load()
	if inFlight == 0 {
		logger.Emit(d.logger, logger.DaemonStopped)
		return nil
	}
	logger.Emit(d.logger, logger.DaemonAborted, slog.Int64("cut", inFlight))
	return ErrAborted
}
