package projection

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// SettingsVersion is a published settings document; its version is the position of its record.
type SettingsVersion struct {
	Version id.Position
	// Base is the version that this one replaced.
	Base     id.Position
	Author   string
	Document string
}

// APIKey is an issued API key; only a salted hash of its secret is kept.
type APIKey struct {
	ID        id.APIKey
	Workspace id.Workspace
	// Withdrawn is true if the key was revoked.
	Withdrawn bool
	// IssuePosition is the position of the record that issued the key.
	IssuePosition id.Position
	salt          []byte
	hash          []byte
}

// HashSecret returns the salted SHA-256 hash that is kept in place of an API key's secret.
func HashSecret(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(bytes.Clone(salt), secret...))

	return sum[:]
}

const (
	// maxSettingsVersions bounds the settings versions in the history, the one in force included.
	maxSettingsVersions = 64
	// maxOldSettingsBytes bounds the size of all documents of the versions that are no longer in force.
	maxOldSettingsBytes = 4 << 20
)

// Control is the state of the control stream: settings, API keys, crashes of upstreams and reservations.
type Control struct {
	settings     []SettingsVersion
	keys         map[id.APIKey]*APIKey
	crashes      poison.Detector
	reservations map[id.Upstream]Reservation
	// lastCrashPositions holds the position of the latest crash of each request.
	lastCrashPositions map[id.Fingerprint]id.Position
	currentOffset      id.Offset
	lastSnapshot       SnapshotMeta
	// rejected holds the ids of rejected records, because a later copy of one might pass the checks.
	rejected recentIDs
	// unknown is true from a gap in the records that were read until a snapshot is restored. Until then firstReadOffset is
	// the offset of the first append after the gap, and pending queues the records that are read.
	unknown         bool
	firstReadOffset id.Offset
	pending         []pendingRecord
}

// Settings returns the version in force, or a zero one before the first is published.
func (c *Control) Settings() SettingsVersion {
	if len(c.settings) == 0 {
		return SettingsVersion{}
	}

	return c.settings[len(c.settings)-1]
}

// SettingsHistory returns the retained settings versions, oldest first.
func (c *Control) SettingsHistory() []SettingsVersion { return c.settings }

// APIKey returns an issued API key.
func (c *Control) APIKey(key id.APIKey) (APIKey, bool) {
	apiKey, ok := c.keys[key]
	if !ok {
		return APIKey{}, false
	}

	return *apiKey, true
}

// APIKeys returns all API keys in no particular order.
func (c *Control) APIKeys() []APIKey {
	keys := make([]APIKey, 0, len(c.keys))
	for _, key := range c.keys {
		keys = append(keys, *key)
	}

	return keys
}

// Authenticate returns the API key if the secret matches and the key is not withdrawn.
func (c *Control) Authenticate(key id.APIKey, secret string) (APIKey, bool) {
	apiKey, ok := c.keys[key]
	if !ok || apiKey.Withdrawn {
		return APIKey{}, false
	}
	if subtle.ConstantTimeCompare(apiKey.hash, HashSecret(apiKey.salt, secret)) != 1 {
		return APIKey{}, false
	}

	return *apiKey, true
}

// Apply applies one control record, or queues it until the state is known.
func (c *Control) Apply(pos id.Position, rec *record.Record) RejectReason {
	if c.unknown {
		c.pending = append(c.pending, pendingRecord{pos: pos, rec: rec})

		return StateUnknown
	}

	return c.applyKnown(pos, rec)
}

func (c *Control) applyKnown(pos id.Position, rec *record.Record) RejectReason {
	c.currentOffset = pos.Offset()
	c.dropExpired()
	if c.rejected.contains(rec.GetId()) {
		return Duplicate
	}
	reason := c.dispatch(pos, rec)
	if reason != Valid {
		c.rejected.add(rec.GetId(), pos.Offset())
	}

	return reason
}

func (c *Control) dispatch(pos id.Position, rec *record.Record) RejectReason {
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_SettingsPublish:
		return c.applySettingsPublish(pos, body.SettingsPublish)
	case *recordpb.Record_KeyIssue:
		return c.applyKeyIssue(pos, body.KeyIssue)
	case *recordpb.Record_KeyWithdraw:
		return c.applyKeyWithdraw(body.KeyWithdraw)
	case *recordpb.Record_Crash:
		return c.applyCrash(pos, body.Crash)
	case *recordpb.Record_Reservation:
		return c.applyReservation(pos, rec, body.Reservation)
	default:
		return UnknownKind
	}
}

func (c *Control) applySettingsPublish(pos id.Position, body *recordpb.SettingsPublish) RejectReason {
	if id.Position(body.GetBase()) != c.Settings().Version {
		return StaleBase
	}
	c.settings = append(c.settings, SettingsVersion{
		Version:  pos,
		Base:     id.Position(body.GetBase()),
		Author:   body.GetAuthor(),
		Document: body.GetDocument(),
	})
	c.trimHistory()

	return Valid
}

// trimHistory drops the oldest versions beyond maxSettingsVersions and maxOldSettingsBytes, but never the one in force.
func (c *Control) trimHistory() {
	last := len(c.settings) - 1
	firstKept := last
	for size := 0; firstKept > 0 && len(c.settings)-firstKept < maxSettingsVersions; firstKept-- {
		size += len(c.settings[firstKept-1].Document)
		if size > maxOldSettingsBytes {
			break
		}
	}
	c.settings = slices.Clone(c.settings[firstKept:])
}

func (c *Control) applyKeyIssue(pos id.Position, body *recordpb.KeyIssue) RejectReason {
	key := id.APIKey(body.GetKey())
	if _, ok := c.keys[key]; ok {
		return KeyExists
	}
	if c.keys == nil {
		c.keys = make(map[id.APIKey]*APIKey)
	}
	c.keys[key] = &APIKey{
		ID:            key,
		Workspace:     id.Workspace(body.GetWorkspace()),
		IssuePosition: pos,
		salt:          body.GetSalt(),
		hash:          body.GetHash(),
	}

	return Valid
}

func (c *Control) applyKeyWithdraw(body *recordpb.KeyWithdraw) RejectReason {
	apiKey, ok := c.keys[id.APIKey(body.GetKey())]
	if !ok {
		return NoSuchKey
	}
	apiKey.Withdrawn = true

	return Valid
}
