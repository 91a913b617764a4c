package provider

import "context"

// Role is the kind of process that runs on a host.
type Role string

// Roles of hosts.
const (
	RoleRouter Role = "router"
	RoleTarget Role = "target"
)

// HostState says whether a host is in service or about to be removed.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	// Address is the host:port of the process on the host.
	Address    string    `json:"address"`
	DataCentre string    `json:"dataCentre"`
	Role       Role      `json:"role"`
	State      HostState `json:"state"`
	// Incarnation increases when the host is replaced.
	Incarnation uint64 `json:"incarnation"`
}

// HostList is one revision of the list of hosts, which lags behind the actual state
// of the hosts.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// HostsClient is the HTTP client of the host list.
type HostsClient struct{ client client }

// NewHosts returns a client of the host list.
func NewHosts(o Options) *HostsClient { return &HostsClient{client: newClient(o)} }

// Hosts returns the current host list. Errors: those of this package, such as
// ErrUnavailable.
func (h *HostsClient) Hosts(ctx context.Context) (HostList, error) {
	var list HostList
	err := h.client.getJSON(ctx, "/v1/hosts", &list)
	return list, err
}
