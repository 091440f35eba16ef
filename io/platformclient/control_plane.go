package platformclient

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/settings"
)

// Streams of the log.
const (
	ControlStream  id.Stream = "control"
	ProgramsStream id.Stream = "programs"
)

const (
	// apiKeyPrefix starts every bearer token.
	apiKeyPrefix = "cwk"
	// apiKeySaltBytes is the length of the salt with which a key's secret is hashed.
	apiKeySaltBytes = 16
	// maxKeyStaleness is the maximum age of the control data with which a host accepts keys: a key may have been withdrawn
	// since the host last read the control stream.
	maxKeyStaleness = 4 * time.Second
	// controlAppendTimeout bounds one append to the control stream.
	controlAppendTimeout = 10 * time.Second
)

// ControlPlane reads and changes the state in the control stream: settings, API keys, poison requests and the
// upstreams that are reserved for them.
type ControlPlane struct {
	Journal *Journal[*projection.Control]
	HostID  id.Host

	mu      sync.Mutex
	version id.Position
	fleet   *settings.Fleet
	// rejectedVersion is a version that this build can't parse; the previous version stays in force at this host.
	rejectedVersion id.Position
	findings        []settings.Finding
}

// Settings returns the settings in force at this host and their version; they are empty before the first publish.
func (c *ControlPlane) Settings() (*settings.Fleet, id.Position) {
	var current projection.SettingsVersion
	c.Journal.View(func(state *projection.Control) { current = state.Settings() })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet == nil {
		c.fleet = &settings.Fleet{}
	}
	if current.Version <= max(c.version, c.rejectedVersion) {
		return c.fleet, c.version
	}
	// The document was validated when it was published, but an older build may not be able to parse it.
	fleet, findings := settings.Parse("settings", []byte(current.Document))
	if len(findings) > 0 {
		c.rejectedVersion, c.findings = current.Version, findings

		return c.fleet, c.version
	}
	c.fleet, c.version, c.findings = fleet, current.Version, nil

	return c.fleet, c.version
}

// SettingsFindings returns the errors in the latest settings that keep them from being in force at this host.
func (c *ControlPlane) SettingsFindings() []settings.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.findings
}

// Authenticate returns the API key of a bearer token, or an error if the token is invalid, the key was withdrawn or
// this host's data is too old to tell.
func (c *ControlPlane) Authenticate(bearerToken string, now time.Time) (projection.APIKey, error) {
	if age := c.Staleness(now); age > maxKeyStaleness {
		return projection.APIKey{}, apierror.New(apierror.LogUnavailable,
			"this host has not read the withdrawn keys for %s; use another host", age.Round(time.Second)).WithRetryAfter(time.Second)
	}
	parts := strings.Split(bearerToken, "_")
	if len(parts) != 3 || parts[0] != apiKeyPrefix {
		return projection.APIKey{}, apierror.New(apierror.Unauthenticated, "send a key as Authorization: Bearer cwk_…")
	}
	var key projection.APIKey
	var ok bool
	c.Journal.View(func(state *projection.Control) { key, ok = state.Authenticate(id.APIKey(parts[1]), parts[2]) })
	if !ok {
		return projection.APIKey{}, apierror.New(apierror.Unauthenticated, "the key is unknown or was withdrawn; ask an operator for a new one")
	}

	return key, nil
}

// Staleness returns the time since the latest complete read of the control stream.
func (c *ControlPlane) Staleness(now time.Time) time.Duration {
	return now.Sub(c.Journal.Status().LogReadAt)
}

// IsKeyWithdrawn reports whether a key was withdrawn; an unknown key counts as withdrawn.
func (c *ControlPlane) IsKeyWithdrawn(key id.APIKey) bool {
	withdrawn := true
	c.Journal.View(func(state *projection.Control) {
		if found, ok := state.APIKey(key); ok {
			withdrawn = found.Withdrawn
		}
	})

	return withdrawn
}

// IsQuarantined reports whether a request is blocked because it crashed upstreams.
func (c *ControlPlane) IsQuarantined(request id.Fingerprint) bool {
	quarantined := false
	c.Journal.View(func(state *projection.Control) { quarantined = state.Quarantined(request) })

	return quarantined
}

// PoisonStatus returns whether a request is clean, suspected or confirmed to crash upstreams.
func (c *ControlPlane) PoisonStatus(request id.Fingerprint) poison.Status {
	status := poison.Clean
	c.Journal.View(func(state *projection.Control) { status = state.PoisonStatus(request) })

	return status
}

// Reservations returns the upstreams that are reserved for suspected poison requests.
func (c *ControlPlane) Reservations() []projection.Reservation {
	var reservations []projection.Reservation
	c.Journal.View(func(state *projection.Control) { reservations = state.Reservations() })

	return reservations
}

// SetReservation starts or ends a reservation; the result says whether the record was valid.
func (c *ControlPlane) SetReservation(ctx context.Context, reservation *recordpb.Reservation) (projection.ApplyResult, error) {
	rec := record.New(c.HostID)
	rec.Body = &recordpb.Record_Reservation{Reservation: reservation}

	return c.appendRecord(ctx, rec)
}

// PublishSettings replaces the settings and returns the new version. It returns a SettingsConflict error if base is no
// longer the current version.
func (c *ControlPlane) PublishSettings(ctx context.Context, base id.Position, document, author string) (id.Position, error) {
	rec := record.New(c.HostID)
	rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
		Base: uint64(base), Document: document, Author: author,
	}}
	applyResult, err := c.appendRecord(ctx, rec)
	if err != nil {
		return 0, err
	}
	if !applyResult.Valid() {
		_, current := c.Settings()

		return 0, apierror.New(apierror.SettingsConflict,
			"the settings have changed: base your change on version %d, not %d", current, base)
	}

	return applyResult.Position, nil
}

// IssuedKey is a new API key with its bearer token, which is not stored.
type IssuedKey struct {
	KeyID       id.APIKey
	BearerToken string
	// Offset is the offset of the key's record in the control stream.
	Offset id.Offset
}

// IssueKey creates an API key for a workspace.
func (c *ControlPlane) IssueKey(ctx context.Context, workspace id.Workspace) (IssuedKey, error) {
	salt := make([]byte, apiKeySaltBytes)
	rand.Read(salt)
	key := id.APIKey(id.NewRandom())
	secret := id.NewRandom() + id.NewRandom()
	rec := record.New(c.HostID)
	rec.Body = &recordpb.Record_KeyIssue{KeyIssue: &recordpb.KeyIssue{
		Key: string(key), Workspace: string(workspace), Salt: salt, Hash: projection.HashSecret(salt, secret),
	}}
	applyResult, err := c.appendRecord(ctx, rec)
	if err != nil {
		return IssuedKey{}, err
	}

	return IssuedKey{
		KeyID:       key,
		BearerToken: strings.Join([]string{apiKeyPrefix, string(key), secret}, "_"),
		Offset:      applyResult.Position.Offset(),
	}, nil
}

// WithdrawKey withdraws a key permanently and returns the offset of its record in the control stream.
func (c *ControlPlane) WithdrawKey(ctx context.Context, key id.APIKey) (id.Offset, error) {
	rec := record.New(c.HostID)
	rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: string(key)}}
	applyResult, err := c.appendRecord(ctx, rec)
	if err != nil {
		return 0, err
	}
	if !applyResult.Valid() {
		return 0, apierror.New(apierror.NotFound, "there is no key %q; see key list", key)
	}

	return applyResult.Position.Offset(), nil
}

// ReportCrash records that an upstream crashed while it ran a request.
func (c *ControlPlane) ReportCrash(ctx context.Context, crash *recordpb.Crash) error {
	rec := record.New(c.HostID)
	rec.Body = &recordpb.Record_Crash{Crash: crash}
	_, err := c.appendRecord(ctx, rec)

	return err
}

func (c *ControlPlane) appendRecord(ctx context.Context, rec *record.Record) (projection.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlAppendTimeout)
	defer cancel()
	applyResult, err := c.Journal.Append(ctx, rec)
	if err != nil {
		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable,
			"the log did not confirm the change, which may still take effect: %v", err).
			WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
	}

	return applyResult, nil
}
