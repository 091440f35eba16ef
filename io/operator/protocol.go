package operator

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
	"cardamomward/io/engineclient"
	"cardamomward/io/peer"
	"cardamomward/io/platform"
)

// Settings is the document in force.
type Settings struct {
	Version  id.Position `json:"version"`
	Author   string      `json:"author"`
	Document string      `json:"document"`
}

// PublishRequest replaces the settings if Base is still the version in force.
type PublishRequest struct {
	Base     id.Position `json:"base"`
	Document string      `json:"document"`
	Author   string      `json:"author"`
	// WaitMillis is how long to wait until every live host has the version in force.
	WaitMillis int64 `json:"wait-ms"`
}

// PublishResponse names the new version and the hosts that had it in force when the wait ended.
type PublishResponse struct {
	Version  id.Position        `json:"version"`
	InForce  []id.Host          `json:"in-force"`
	Waiting  []id.Host          `json:"waiting"`
	Findings []settings.Finding `json:"findings,omitempty"`
}

// Version is one entry of the settings' history.
type Version struct {
	Version id.Position `json:"version"`
	Base    id.Position `json:"base"`
	Author  string      `json:"author"`
	Bytes   int         `json:"bytes"`
}

// History lists the latest versions of the settings, oldest first.
type History struct {
	Versions []Version `json:"versions"`
}

// Key is an issued key without its secret.
type Key struct {
	Key       id.APIKey    `json:"key"`
	Workspace id.Workspace `json:"workspace"`
	Withdrawn bool         `json:"withdrawn"`
	// Waiting are the live hosts that did not know of a withdrawal when its answer was sent.
	Waiting []id.Host `json:"waiting,omitempty"`
}

// Keys lists issued keys.
type Keys struct {
	Keys []Key `json:"keys"`
}

// IssueRequest asks for a key of a workspace.
type IssueRequest struct {
	Workspace id.Workspace `json:"workspace"`
}

// IssueResponse carries a key, which is shown this once.
type IssueResponse struct {
	Key    id.APIKey `json:"key"`
	Bearer string    `json:"bearer"`
	// Waiting are the live hosts that did not know the key when the answer was sent.
	Waiting []id.Host `json:"waiting,omitempty"`
}

// Programs lists programs.
type Programs struct {
	Programs []caller.Program `json:"programs"`
}

// HostStatus is a host as another sees it.
type HostStatus struct {
	Host            id.Host          `json:"host"`
	FailureDomain   id.FailureDomain `json:"failure-domain"`
	Caller          string           `json:"caller-address"`
	Operator        string           `json:"operator-address"`
	Live            bool             `json:"live"`
	Leaving         bool             `json:"leaving"`
	SettingsVersion id.Position      `json:"settings-version"`
	ControlNext     id.Offset        `json:"control-next"`
	Running         int64            `json:"running-calls"`
	Slots           int              `json:"slots"`
}

// Status says which host has which settings version in force.
type Status struct {
	SettingsVersion id.Position  `json:"settings-version"`
	Hosts           []HostStatus `json:"hosts"`
}

// Dump is the whole state of a host.
type Dump struct {
	Host            id.Host                       `json:"host"`
	FailureDomain   id.FailureDomain              `json:"failure-domain"`
	Now             time.Time                     `json:"now"`
	Leaving         bool                          `json:"leaving"`
	SettingsVersion id.Position                   `json:"settings-version"`
	Journals        []platform.Status             `json:"journals"`
	Slots           int                           `json:"slots"`
	Running         int                           `json:"running-calls"`
	Requests        int                           `json:"caller-requests"`
	Waiting         []Waiting                     `json:"waiting"`
	Upstreams       []engineclient.UpstreamStatus `json:"upstreams"`
	Members         []peer.Member                 `json:"members"`
	Programs        []caller.Program              `json:"programs"`
}

// Waiting counts the calls that wait for a service.
type Waiting struct {
	Service id.Service `json:"service"`
	Calls   int        `json:"calls"`
}
