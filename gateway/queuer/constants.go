package queuer

import "time"

// Values of Retry-After for refused requests, before limits and jitter.
const (
	// noTargetRetryAfter is the time in which a restarted target enters itself in the
	// registry and daemons read the entry.
	noTargetRetryAfter = 500 * time.Millisecond
	// overShareRetryAfter is a part of the window in which shares are counted: after
	// it, some of the account's service has left the window.
	overShareRetryAfter = time.Second
	// minOverloadRetryAfter is about the time in which an engine prefills one long
	// prompt.
	minOverloadRetryAfter = 150 * time.Millisecond
)

// DefaultSettings returns the settings that daemons use.
func DefaultSettings() Settings {
	return Settings{MaxExpectedShare: 0.7, MaxWaitShare: 0.4, LateMaxExpectedShare: 1.5}
}
