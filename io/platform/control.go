package platform

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

// Streams that the system keeps in the log.
const (
	ControlStream  id.Stream = "control"
	ProgramsStream id.Stream = "programs"
)

const (
	// keyPrefix starts each key that callers present.
	keyPrefix = "cwk"
	// saltBytes is the length of a key's salt.
	saltBytes = 16
	// staleAfter is how long a host admits callers without news of withdrawn keys.
	staleAfter = 4 * time.Second
	// appendWait bounds how long an operator's change may take.
	appendWait = 10 * time.Second
)

// Control is the operators' side of the log: settings in force and keys.
type Control struct {
	Journal *Journal[*projection.Control]
	Host    id.Host

	mu      sync.Mutex
	version id.Position
	fleet   *settings.Fleet
	// rejected is a version that this build can't read; the one before it stays in force here.
	rejected id.Position
	findings []settings.Finding
}

// Fleet returns the settings in force and their version; before the first publish they are empty.
func (c *Control) Fleet() (*settings.Fleet, id.Position) {
	var current projection.SettingsVersion
	c.Journal.View(func(state *projection.Control) { current = state.Settings() })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet == nil {
		c.fleet = &settings.Fleet{}
	}
	if current.Version <= max(c.version, c.rejected) {
		return c.fleet, c.version
	}
	// Publish has checked the document; one that a later build wrote may still not be readable here.
	fleet, findings := settings.Parse("settings", []byte(current.Document))
	if len(findings) > 0 {
		c.rejected, c.findings = current.Version, findings

		return c.fleet, c.version
	}
	c.fleet, c.version, c.findings = fleet, current.Version, nil

	return c.fleet, c.version
}

// Findings returns why the latest settings are not in force at this host, if they are not.
func (c *Control) Findings() []settings.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.findings
}

// Authenticate returns the key that a bearer token proves.
func (c *Control) Authenticate(bearer string, now time.Time) (projection.APIKey, error) {
	if age := c.Age(now); age > staleAfter {
		return projection.APIKey{}, apierror.New(apierror.LogUnavailable,
			"this host has had no news of withdrawn keys for %s; ask another host", age.Round(time.Second)).WithRetryAfter(time.Second)
	}
	parts := strings.Split(bearer, "_")
	if len(parts) != 3 || parts[0] != keyPrefix {
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

// Age returns how old this host's knowledge of the control stream is.
func (c *Control) Age(now time.Time) time.Duration {
	return now.Sub(c.Journal.Status().Heard)
}

// KeyWithdrawn reports whether a key has been withdrawn.
func (c *Control) KeyWithdrawn(key id.APIKey) bool {
	withdrawn := true
	c.Journal.View(func(state *projection.Control) {
		if found, ok := state.APIKey(key); ok {
			withdrawn = found.Withdrawn
		}
	})

	return withdrawn
}

// Quarantined reports whether a request may not run any more.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	quarantined := false
	c.Journal.View(func(state *projection.Control) { quarantined = state.Quarantined(request) })

	return quarantined
}

// Standing returns how far a request is under suspicion of crashing upstreams.
func (c *Control) Standing(request id.Fingerprint) poison.Status {
	standing := poison.Clean
	c.Journal.View(func(state *projection.Control) { standing = state.PoisonStatus(request) })

	return standing
}

// Reservations returns the upstreams that are reserved for suspect requests.
func (c *Control) Reservations() []projection.Reservation {
	var reservations []projection.Reservation
	c.Journal.View(func(state *projection.Control) { reservations = state.Reservations() })

	return reservations
}

// Reserve begins or ends a reservation; its verdict says whether it counts.
func (c *Control) Reserve(ctx context.Context, reservation *recordpb.Reservation) (projection.ApplyResult, error) {
	rec := record.New(c.Host)
	rec.Body = &recordpb.Record_Reservation{Reservation: reservation}

	return c.append(ctx, rec)
}

// Publish replaces the settings if base is still the version in force.
func (c *Control) Publish(ctx context.Context, base id.Position, document, author string) (id.Position, error) {
	rec := record.New(c.Host)
	rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
		Base: uint64(base), Document: document, Author: author,
	}}
	verdict, err := c.append(ctx, rec)
	if err != nil {
		return 0, err
	}
	if !verdict.Valid() {
		_, current := c.Fleet()

		return 0, apierror.New(apierror.SettingsConflict,
			"the settings have changed: base your change on version %d, not %d", current, base)
	}

	return verdict.Position, nil
}

// IssuedKey is a new key with what its caller presents, which is kept nowhere.
type IssuedKey struct {
	Key    id.APIKey
	Bearer string
	// Offset is the place of the key's record in the control stream.
	Offset id.Offset
}

// IssueKey creates a key for a workspace.
func (c *Control) IssueKey(ctx context.Context, workspace id.Workspace) (IssuedKey, error) {
	salt := make([]byte, saltBytes)
	rand.Read(salt)
	key := id.APIKey(id.NewRandom())
	secret := id.NewRandom() + id.NewRandom()
	rec := record.New(c.Host)
	rec.Body = &recordpb.Record_KeyIssue{KeyIssue: &recordpb.KeyIssue{
		Key: string(key), Workspace: string(workspace), Salt: salt, Hash: projection.HashSecret(salt, secret),
	}}
	verdict, err := c.append(ctx, rec)
	if err != nil {
		return IssuedKey{}, err
	}

	return IssuedKey{
		Key:    key,
		Bearer: strings.Join([]string{keyPrefix, string(key), secret}, "_"),
		Offset: verdict.Position.Offset(),
	}, nil
}

// WithdrawKey withdraws a key for good and returns the place of its record in the control stream.
func (c *Control) WithdrawKey(ctx context.Context, key id.APIKey) (id.Offset, error) {
	rec := record.New(c.Host)
	rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: string(key)}}
	verdict, err := c.append(ctx, rec)
	if err != nil {
		return 0, err
	}
	if !verdict.Valid() {
		return 0, apierror.New(apierror.NotFound, "there is no key %q; see key list", key)
	}

	return verdict.Position.Offset(), nil
}

// ReportCrash counts a crash of an upstream against the request that it ran.
func (c *Control) ReportCrash(ctx context.Context, crash *recordpb.Crash) error {
	rec := record.New(c.Host)
	rec.Body = &recordpb.Record_Crash{Crash: crash}
	_, err := c.append(ctx, rec)

	return err
}

func (c *Control) append(ctx context.Context, rec *record.Record) (projection.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	verdict, err := c.Journal.Append(ctx, rec)
	if err != nil {
		return projection.ApplyResult{}, apierror.New(apierror.LogUnavailable,
			"the log did not confirm the change, which may still come into force: %v", err).
			WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
	}

	return verdict, nil
}
