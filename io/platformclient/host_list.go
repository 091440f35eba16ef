package platformclient

import (
	"context"
	"fmt"
	"net/http"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
)

// HostEntry is a host in the platform's list, which lags behind the hosts' real state.
type HostEntry struct {
	Host            id.Host          `json:"host"`
	FailureDomain   id.FailureDomain `json:"failure-domain"`
	CallerAddress   string           `json:"caller-address"`
	OperatorAddress string           `json:"operator-address"`
	PeerAddress     string           `json:"peer-address"`
	Leaving         bool             `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList struct {
	Hosts []HostEntry `json:"hosts"`
}

// HostListClient is an HTTP client of the platform's list of hosts.
type HostListClient struct {
	// Address is the IP address and port of the service.
	Address string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// List returns the hosts in the platform's list, which lags behind their real state.
func (h *HostListClient) List(ctx context.Context) ([]HostEntry, error) {
	var list HostList
	err := httpx.SendJSON(ctx, h.client(), http.MethodGet, fmt.Sprintf("http://%s/v1/hosts", h.Address), nil, &list)

	return list.Hosts, err
}

// Announce adds a host to the platform's list or updates its entry.
func (h *HostListClient) Announce(ctx context.Context, entry HostEntry) error {
	url := fmt.Sprintf("http://%s/v1/hosts/%s", h.Address, entry.Host)

	return httpx.SendJSON(ctx, h.client(), http.MethodPut, url, entry, nil)
}

func (h *HostListClient) client() *http.Client {
	if h.Client == nil {
		return http.DefaultClient
	}

	return h.Client
}
