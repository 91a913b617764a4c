package receiver

import (
	"log/slog"
	"net/http"
	"time"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// serverHeaderBytes is larger than the default of Options.MaxHeaderBytes, so
	// that the handler rejects most oversize headers with an error body; beyond it
	// net/http itself sends a 431 response without one.
	serverHeaderBytes = 256 << 10
)

// NewServer returns an HTTP/1.1 and h2c server for handler. It has no write
// timeout because streams have no bounded length; the dispatcher bounds each
// write instead.
func NewServer(handler http.Handler, logger *slog.Logger) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}
