package platformclient

import (
	"context"
	"fmt"
	"net/http"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
)

// HostEntry is one host in the platform's lagging list.
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

// HostListClient reads the platform's list of hosts.
type HostListClient struct {
	// Address is the list's IP number and port.
	Address string
	Client  *http.Client
}

// List returns the hosts as the platform sees them, which lags.
func (h *HostListClient) List(ctx context.Context) ([]HostEntry, error) {
	var list HostList
	err := httpx.Do(ctx, h.client(), http.MethodGet, fmt.Sprintf("http://%s/v1/hosts", h.Address), nil, &list)

	return list.Hosts, err
}

// Announce tells the platform of a host.
func (h *HostListClient) Announce(ctx context.Context, entry HostEntry) error {
	url := fmt.Sprintf("http://%s/v1/hosts/%s", h.Address, entry.Host)

	return httpx.Do(ctx, h.client(), http.MethodPut, url, entry, nil)
}

func (h *HostListClient) client() *http.Client {
	if h.Client == nil {
		return http.DefaultClient
	}

	return h.Client
}
