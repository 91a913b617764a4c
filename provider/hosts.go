package provider

import "context"

// Role tells what runs on a host.
type Role string

// Roles of hosts.
const (
	RoleRouter Role = "router"
	RoleTarget Role = "target"
)

// HostState tells whether a host stays or is about to go.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Address     string    `json:"address"`
	DataCentre  string    `json:"dataCentre"`
	Role        Role      `json:"role"`
	State       HostState `json:"state"`
	Incarnation uint64    `json:"incarnation"`
}

// HostList is one revision of the host list; it lags behind the actual state.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// HostsClient is the HTTP client of the host list.
type HostsClient struct{ client client }

// NewHosts returns a client of the host list.
func NewHosts(o Options) *HostsClient { return &HostsClient{client: newClient(o)} }

// Hosts returns the current list. Errors: ErrUnavailable.
func (h *HostsClient) Hosts(ctx context.Context) (HostList, error) {
	var list HostList
	err := h.client.getJSON(ctx, "/v1/hosts", &list)
	return list, err
}
