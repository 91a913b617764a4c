package queuer

import "time"

// Times after which refused callers should return.
const (
	// noTargetRetry is the time in which a restarted target enters itself in the
	// registry and is read from there.
	noTargetRetry = 500 * time.Millisecond
	// overShareRetry is a part of the window in which shares are counted: after it,
	// some of the account's service has left the window.
	overShareRetry = time.Second
	// minRetry is about the time in which an engine reads one long prompt.
	minRetry = 150 * time.Millisecond
)

// DefaultSettings returns the settings that were best on the measured loads.
func DefaultSettings() Settings {
	return Settings{Depth: 0.7, Hold: 0.4, LateDepth: 1.5}
}
