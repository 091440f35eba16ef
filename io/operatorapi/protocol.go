package operatorapi

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
	"cardamomward/io/engineclient"
	"cardamomward/io/peer"
	"cardamomward/io/platformclient"
)

// SettingsDocument is the settings document in force.
type SettingsDocument struct {
	Version  id.Position `json:"version"`
	Author   string      `json:"author"`
	Document string      `json:"document"`
}

// PublishRequest replaces the settings if BaseVersion is still the version in force.
type PublishRequest struct {
	BaseVersion id.Position `json:"base"`
	Document    string      `json:"document"`
	Author      string      `json:"author"`
	// WaitMillis is the time limit for the new version to be in force on every live host.
	WaitMillis int64 `json:"wait-ms"`
}

// PublishResponse is the new version with the live hosts that had it in force when the wait ended, and those that had
// not.
type PublishResponse struct {
	Version      id.Position        `json:"version"`
	AppliedHosts []id.Host          `json:"in-force"`
	PendingHosts []id.Host          `json:"waiting"`
	Findings     []settings.Finding `json:"findings,omitempty"`
}

// SettingsVersion is one version in the settings history.
type SettingsVersion struct {
	Version       id.Position `json:"version"`
	BaseVersion   id.Position `json:"base"`
	Author        string      `json:"author"`
	DocumentBytes int         `json:"bytes"`
}

// SettingsHistory lists the latest versions of the settings, oldest first.
type SettingsHistory struct {
	Versions []SettingsVersion `json:"versions"`
}

// APIKey is an issued API key without its secret.
type APIKey struct {
	Key       id.APIKey    `json:"key"`
	Workspace id.Workspace `json:"workspace"`
	Withdrawn bool         `json:"withdrawn"`
	// PendingHosts are the live hosts that had not applied the withdrawal when the response was sent.
	PendingHosts []id.Host `json:"waiting,omitempty"`
}

// APIKeyList lists the issued API keys.
type APIKeyList struct {
	Keys []APIKey `json:"keys"`
}

// IssueKeyRequest requests an API key for a workspace.
type IssueKeyRequest struct {
	Workspace id.Workspace `json:"workspace"`
}

// IssueKeyResponse is a new API key with its bearer token, which is not shown again.
type IssueKeyResponse struct {
	Key         id.APIKey `json:"key"`
	BearerToken string    `json:"bearer"`
	// PendingHosts are the live hosts that had not applied the new key when the response was sent.
	PendingHosts []id.Host `json:"waiting,omitempty"`
}

// ProgramList lists programs.
type ProgramList struct {
	Programs []caller.Program `json:"programs"`
}

// HostStatus is the status of a host as another host sees it.
type HostStatus struct {
	Host            id.Host          `json:"host"`
	FailureDomain   id.FailureDomain `json:"failure-domain"`
	CallerAddress   string           `json:"caller-address"`
	OperatorAddress string           `json:"operator-address"`
	Live            bool             `json:"live"`
	Leaving         bool             `json:"leaving"`
	SettingsVersion id.Position      `json:"settings-version"`
	// ControlNextOffset is the offset up to which the host has read the control stream.
	ControlNextOffset id.Offset `json:"control-next"`
	RunningCalls      int64     `json:"running-calls"`
	OwnedSlots        int       `json:"slots"`
}

// ClusterStatus is the status of all hosts as one of them sees them, with its settings version.
type ClusterStatus struct {
	SettingsVersion id.Position  `json:"settings-version"`
	Hosts           []HostStatus `json:"hosts"`
}

// HostDump is a dump of the state of a host.
type HostDump struct {
	Host            id.Host                        `json:"host"`
	FailureDomain   id.FailureDomain               `json:"failure-domain"`
	Now             time.Time                      `json:"now"`
	Leaving         bool                           `json:"leaving"`
	SettingsVersion id.Position                    `json:"settings-version"`
	Journals        []platformclient.JournalStatus `json:"journals"`
	OwnedSlots      int                            `json:"slots"`
	RunningCalls    int                            `json:"running-calls"`
	// CallerRequests is the number of callers' requests in progress.
	CallerRequests int `json:"caller-requests"`
	// QueuedCalls are the numbers of waiting calls, by service.
	QueuedCalls []QueuedCalls                 `json:"waiting"`
	Upstreams   []engineclient.UpstreamStatus `json:"upstreams"`
	Members     []peer.Member                 `json:"members"`
	Programs    []caller.Program              `json:"programs"`
}

// QueuedCalls is the number of calls that wait for a service.
type QueuedCalls struct {
	Service id.Service `json:"service"`
	Calls   int        `json:"calls"`
}
