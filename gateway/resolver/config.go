package resolver

import (
	"slices"
	"strings"
)

// Config is one version of the configuration. The zero value has no routes.
type Config struct {
	version uint64
	limits  Limits
	// routes holds the routes of each host name, the longest prefix first.
	routes   map[string][]Route
	services map[string]Service
	accounts map[string]Account
	// accountOfKey holds the name of the account of each key.
	accountOfKey map[string]string
	// encoded is the form in which the configuration was read.
	encoded []byte
}

// Content holds the parts of a configuration.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// Encoded is the form in which the configuration was read. Daemons pass it on to
	// each other.
	Encoded []byte
}

// New returns a configuration with the given content.
func New(c Content) Config {
	config := Config{
		version: c.Version, limits: c.Limits, encoded: c.Encoded,
		routes: map[string][]Route{}, services: map[string]Service{},
		accounts: map[string]Account{}, accountOfKey: map[string]string{},
	}
	for _, r := range c.Routes {
		config.routes[r.Host] = append(config.routes[r.Host], r)
	}
	for _, rs := range config.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		config.services[s.Name] = s
	}
	for _, a := range c.Accounts {
		config.accounts[a.Name] = a
		for _, k := range a.Keys {
			config.accountOfKey[k] = a.Name
		}
	}
	return config
}

// Version returns the version. The versions of one deployment only increase.
func (c Config) Version() uint64 { return c.version }

// Encoded returns the form in which the configuration was read.
func (c Config) Encoded() []byte { return c.encoded }

// Limits returns the limits on callers.
func (c Config) Limits() Limits { return c.limits }

// Routes returns the number of routes.
func (c Config) Routes() int {
	n := 0
	for _, rs := range c.routes {
		n += len(rs)
	}
	return n
}

// Resolve returns the route of a host and a path: the one with the longest prefix of
// the path. The host may include a port and need not be in lower case.
func (c Config) Resolve(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services in no particular order.
func (c Config) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// HasAccounts reports whether there are accounts, so that requests need a key.
func (c Config) HasAccounts() bool { return len(c.accounts) > 0 }

// AccountByKey returns the account that holds the key.
func (c Config) AccountByKey(key string) (Account, bool) {
	name, ok := c.accountOfKey[key]
	if !ok {
		return Account{}, false
	}
	return c.accounts[name], true
}

// Destination returns the service for a request, chosen according to the weights by
// a uniformly distributed random number.
func (r Route) Destination(random uint64) string {
	total := 0
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	if total == 0 {
		return r.Destinations[0].Service
	}
	n := int(random % uint64(total))
	for _, d := range r.Destinations {
		if n -= max(d.Weight, 0); n < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
