// Package resolver holds the configuration of a gateway as immutable values and
// finds the route and the client account of a request. It is pure.
package resolver

import "time"

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming answers are sequences of events; the request counts as
	// NonIdempotent unless the route is Resumable.
	Streaming
)

// Destination is one of the services among which a route divides its requests.
type Destination struct {
	Service string
	// Weight is positive; requests are divided in proportion to the weights.
	Weight int
}

// Route tells how the requests under one prefix of one host name are served.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Destinations has at least one entry.
	Destinations []Destination
	// Timeout is the longest time that a request may be kept; 0 sets none.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, up to
	// which the answer is on time; 0 sets none.
	Objective time.Duration
	// EventGap is the longest pause between events that is on time; 0 sets none.
	EventGap time.Duration
	// MaxAttempts is at least 1.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check of the targets.
	HealthPath string
	// ConnectionLimit is the number of connections that each target accepts from all
	// callers together; 0 is unknown.
	ConnectionLimit int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the number of tokens that the memory of one engine holds.
	MemoryTokens int
	// EventTokens is the number of tokens that one event carries.
	EventTokens int
	// CopySpeed is the number of prompt tokens per millisecond that one engine can
	// copy from the memory of another; 0 if engines do not copy.
	CopySpeed float64
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body; 0 sets no limit.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time to send a header, IdleTimeout that between two
	// requests; 0 sets none.
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is the service that all engines together produce: a token
	// read counts once and a token generated twice; 0 is unknown.
	TokensPerSecond float64
}
