package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"monsoondeck.example/gateway/meter"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/recorder"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/limiter"
	"monsoondeck.example/logger"
)

const (
	// memoryShare is the part of the process memory limit that callers and targets may make
	// the process hold. The state of the fleet, garbage and kernel buffers need the rest.
	memoryShare = 0.4
	// minMemoryBytes is the least bound, with which the largest single request is served.
	minMemoryBytes = 32 << 20
	// defaultMemoryBytes is the bound if the memory limit of the process is unknown.
	defaultMemoryBytes = 256 << 20
	// reservedMemoryShare is the part of the bounds of the sum and of headers that only
	// connections and requests of up to smallRequestBytes may take, so that large ones
	// cannot keep out ordinary ones.
	reservedMemoryShare = 0.25
	smallRequestBytes   = 64 << 10
	// headerMemoryShare is the part of the bound that header fields may take.
	headerMemoryShare = 0.4
	// relievedShare is the part of the bound that is freed, if possible, once memory is short.
	relievedShare = 0.125
	// shortMemoryIdleTime is how long a connection must have been idle to be closed while
	// memory is short.
	shortMemoryIdleTime = time.Second
	// stallTime is how long a transfer must have made no progress to be ended while memory
	// is short.
	stallTime = 500 * time.Millisecond
	// reliefInterval is the shortest time between two reactions to short memory,
	// shortageLogInterval that between two records of it.
	reliefInterval      = 100 * time.Millisecond
	shortageLogInterval = time.Second
)

// newMemory returns the account of the memory that others make the process hold.
func newMemory(s settings.Settings) *limiter.Admission {
	total := int64(defaultMemoryBytes)
	if s.MemoryBytes > 0 {
		total = max(int64(memoryShare*float64(s.MemoryBytes)), minMemoryBytes)
	}
	headers := headerMemoryShare * float64(total)
	return limiter.NewAdmission(limiter.AdmissionSettings{
		TotalBytes: total, ReservedBytes: int64(reservedMemoryShare * float64(total)), SmallBytes: smallRequestBytes,
		HeaderBytes: int64(headers), ReservedHeaderBytes: int64(reservedMemoryShare * headers),
	})
}

// newMeter returns the Meter of the connections of callers.
func (g *Gateway) newMeter() *meter.Meter {
	responses := func(render func(receiver.Protocol, time.Duration) []byte) (all [][]byte) {
		for i := range refusalVariants {
			after := minRefusalRetryAfter + (maxRefusalRetryAfter-minRefusalRetryAfter)*time.Duration(i)/(refusalVariants-1)
			all = append(all, render(g.options.Protocol, after))
		}
		return all
	}
	refusals, tooLarge := responses(receiver.MemoryResponse), receiver.HeaderTooLargeResponse()
	requestLogger := recorder.Limit(g.logger, recorder.DefaultRate, g.clock)
	return meter.New(meter.Options{
		Memory: g.memory, Limits: g.callerLimits, Clock: g.clock,
		Refusal: func(status int) []byte {
			if status == http.StatusRequestHeaderFieldsTooLarge {
				return tooLarge
			}
			return refusals[rand.IntN(len(refusals))]
		},
		OnClose: func(r meter.Reason, remote net.Addr) {
			logger.Emit(requestLogger, logger.ConnectionEnded, slog.String("reason", r.String()), slog.String("caller", remote.String()))
		},
	})
}

// callerLimits returns the limits of the configuration in force; the zero value if there
// is none yet.
func (g *Gateway) callerLimits() resolver.Limits {
	config, _ := g.controller.Current()
	return config.Limits()
}

// meterCallers wraps the connections of callers.
func (g *Gateway) meterCallers(s *server, socket net.Listener) {
	s.http.MaxHeaderBytes = meter.MaxHeaderBytes // the Meter applies the limits in force
	s.http.ReadHeaderTimeout = meter.HeaderStartTimeout
	s.http.ConnContext = withAdmission
	s.http.ConnState = g.meter.TrackState(s.connections.track)
	if tcp, ok := socket.(*net.TCPListener); ok {
		s.listener = g.meter.Listener(s.listener, tcp)
		g.readmitted.Listener = g.meter.Listener(g.readmitted.Listener, tcp)
	}
}

// chargeHeader charges the header of a request to its connection.
func chargeHeader(r *http.Request, size, fields int) error {
	if c, ok := r.Context().Value(connectionKey{}).(*meter.Conn); ok {
		return c.ChargeHeader(size, fields)
	}
	return nil
}

// relieveMemory closes idle connections and then ends stalled transfers while memory is
// short.
func (g *Gateway) relieveMemory(ctx context.Context) {
	logged, endedSince := -shortageLogInterval, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.memory.Shortage():
		}
		g.callerServer.connections.closeIdle(shortMemoryIdleTime)
		ended := g.memory.EvictStalled(g.clock(), stallTime, int64(relievedShare*float64(g.memory.Bound())))
		g.stalledEnded.Add(int64(ended))
		endedSince += ended
		if now := g.clock(); now-logged >= shortageLogInterval {
			logger.Emit(g.logger, logger.MemoryShort, slog.Int("stalledEnded", endedSince), slog.Int64("bound", g.memory.Bound()))
			logged, endedSince = now, 0
		}
		time.Sleep(reliefInterval)
	}
}

// sweepMemory closes the connections of callers that do not read.
func (g *Gateway) sweepMemory(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.meter.Sweep(g.clock())
	}
}
