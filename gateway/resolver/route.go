// Package resolver holds the configuration of a gateway as immutable values and
// finds the route and the client account of a request. The package does no I/O.
package resolver

import (
	"slices"
	"time"
)

// Kind says which requests of a route may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming answers are sequences of events. The request may run at most once, like
	// a NonIdempotent one, unless the route is Resumable.
	Streaming
)

// Destination is one of the services among which a route divides its requests.
type Destination struct {
	Service string
	// Weight is positive. Requests are divided in proportion to the weights.
	Weight int
}

// Route says how the requests with one path prefix of one host name are served.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Destinations has at least one entry.
	Destinations []Destination
	// Timeout is the longest time that a request may take; 0 sets no limit.
	Timeout time.Duration
	// Objective is the time within which the answer, or the first event of a stream, is
	// on time; 0 sets none.
	Objective time.Duration
	// MaxEventGap is the longest gap between the events of a stream that is on time; 0
	// sets none.
	MaxEventGap time.Duration
	// MaxAttempts is the largest number of attempts for one request; at least 1.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Resumable is set if a broken stream may continue at another target after its last
	// event.
	Resumable bool
	// AllowedRegions holds the regions whose targets may get the requests; empty sets no
	// limit.
	AllowedRegions []string
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
	// callers together; 0 means unknown.
	ConnectionLimit int
	// ColdPerSecond is the number of requests per second that a cold target takes; 0 means
	// no limit. ColdStart is the time for which a target is cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine is set if the targets are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the number of tokens that fit in the memory of one engine; 0 sets
	// no limit.
	MemoryTokens int
	// EventTokens is the number of tokens that one event carries.
	EventTokens int
	// CopySpeed is the number of prompt tokens per millisecond that one engine can copy
	// from the memory of another; 0 means that engines cannot copy.
	CopySpeed float64
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions holds the regions whose targets may get the requests; empty sets no
	// limit beside that of the route.
	AllowedRegions []string
}

// Regions is a limit on the regions whose targets may get a request. The zero value sets
// none.
type Regions struct {
	// limited is set if only the regions in allowed, of which there may be none, may be used.
	limited bool
	allowed []string
}

// AllowedRegions returns the limit that route and account set together.
func AllowedRegions(r Route, a Account) Regions {
	switch {
	case len(r.AllowedRegions) == 0:
		return Regions{len(a.AllowedRegions) > 0, a.AllowedRegions}
	case len(a.AllowedRegions) == 0:
		return Regions{true, r.AllowedRegions}
	}
	var both []string
	for _, region := range r.AllowedRegions {
		if slices.Contains(a.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return Regions{true, both}
}

// Limited reports whether there is a limit.
func (r Regions) Limited() bool { return r.limited }

// Allow reports whether targets in the region may get the request. The region is empty if it
// is not known.
func (r Regions) Allow(region string) bool {
	return !r.limited || region != "" && slices.Contains(r.allowed, region)
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of a header and a body; 0 sets no
	// limit.
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time to receive a header, IdleTimeout that between two
	// requests of a connection; 0 sets no limit.
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is the service per second of all engines together: each prompt
	// token counts once and each generated token twice; 0 means unknown.
	TokensPerSecond float64
}
