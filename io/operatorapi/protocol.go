package operatorapi

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
	"cardamomward/io/engine"
	"cardamomward/io/peer"
	"cardamomward/io/platformclient"
)

// SettingsDocument is the document in force.
type SettingsDocument struct {
	Version  id.Position `json:"version"`
	Author   string      `json:"author"`
	Document string      `json:"document"`
}

// PublishRequest replaces the settings if Base is still the version in force.
type PublishRequest struct {
	BaseVersion id.Position `json:"base"`
	Document    string      `json:"document"`
	Author      string      `json:"author"`
	// WaitMillis is how long to wait until every live host has the version in force.
	WaitMillis int64 `json:"wait-ms"`
}

// PublishResponse names the new version and the hosts that had it in force when the wait ended.
type PublishResponse struct {
	Version      id.Position        `json:"version"`
	AppliedHosts []id.Host          `json:"in-force"`
	PendingHosts []id.Host          `json:"waiting"`
	Findings     []settings.Finding `json:"findings,omitempty"`
}

// SettingsVersion is one entry of the settings' history.
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

// APIKey is an issued key without its secret.
type APIKey struct {
	Key       id.APIKey    `json:"key"`
	Workspace id.Workspace `json:"workspace"`
	Withdrawn bool         `json:"withdrawn"`
	// PendingHosts are the live hosts that did not know of a withdrawal when its answer was sent.
	PendingHosts []id.Host `json:"waiting,omitempty"`
}

// APIKeyList lists issued keys.
type APIKeyList struct {
	Keys []APIKey `json:"keys"`
}

// IssueKeyRequest asks for a key of a workspace.
type IssueKeyRequest struct {
	Workspace id.Workspace `json:"workspace"`
}

// IssueKeyResponse carries a key, which is shown this once.
type IssueKeyResponse struct {
	Key         id.APIKey `json:"key"`
	BearerToken string    `json:"bearer"`
	// PendingHosts are the live hosts that did not know the key when the answer was sent.
	PendingHosts []id.Host `json:"waiting,omitempty"`
}

// ProgramList lists programs.
type ProgramList struct {
	Programs []caller.Program `json:"programs"`
}

// HostStatus is a host as another sees it.
type HostStatus struct {
	Host              id.Host          `json:"host"`
	FailureDomain     id.FailureDomain `json:"failure-domain"`
	CallerAddress     string           `json:"caller-address"`
	OperatorAddress   string           `json:"operator-address"`
	Live              bool             `json:"live"`
	Leaving           bool             `json:"leaving"`
	SettingsVersion   id.Position      `json:"settings-version"`
	ControlNextOffset id.Offset        `json:"control-next"`
	RunningCalls      int64            `json:"running-calls"`
	OwnedSlots        int              `json:"slots"`
}

// ClusterStatus says which host has which settings version in force.
type ClusterStatus struct {
	SettingsVersion id.Position  `json:"settings-version"`
	Hosts           []HostStatus `json:"hosts"`
}

// HostDump is the whole state of a host.
type HostDump struct {
	Host            id.Host                        `json:"host"`
	FailureDomain   id.FailureDomain               `json:"failure-domain"`
	Now             time.Time                      `json:"now"`
	Leaving         bool                           `json:"leaving"`
	SettingsVersion id.Position                    `json:"settings-version"`
	Journals        []platformclient.JournalStatus `json:"journals"`
	OwnedSlots      int                            `json:"slots"`
	RunningCalls    int                            `json:"running-calls"`
	CallerRequests  int                            `json:"caller-requests"`
	QueuedCalls     []QueuedCalls                  `json:"waiting"`
	Upstreams       []engine.UpstreamStatus        `json:"upstreams"`
	Members         []peer.Member                  `json:"members"`
	Programs        []caller.Program               `json:"programs"`
}

// QueuedCalls counts the calls that wait for a service.
type QueuedCalls struct {
	Service id.Service `json:"service"`
	Calls   int        `json:"calls"`
}
