package fold

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

// SettingsVersion is a published settings document; its position is its version.
type SettingsVersion struct {
	Version  id.Position
	Base     id.Position
	Author   string
	Document string
}

// KeyState is an issued key, of which only a salted hash is kept.
type KeyState struct {
	Key       id.Key
	Workspace id.Workspace
	Withdrawn bool
	Issued    id.Position
	salt      []byte
	hash      []byte
}

// HashSecret returns the salted hash under which a key's secret is kept.
func HashSecret(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(bytes.Clone(salt), secret...))

	return sum[:]
}

const (
	// historyLimit is how many settings versions are kept for the operators' history.
	historyLimit = 64
	// historyBytes bounds the documents of the versions that are no longer in force.
	historyBytes = 4 << 20
)

// Control is the fold of the control stream: settings, keys and quarantined requests.
type Control struct {
	settings []SettingsVersion
	keys     map[id.Key]*KeyState
	crashes  poison.Detector
	// reservations are kept by upstream.
	reservations map[id.Upstream]Reservation
	// crashed are the positions of the latest crashes of requests.
	crashed  map[id.Fingerprint]id.Position
	now      id.Offset
	snapshot SnapshotMark
	// voids are the records that were void: a second copy might be valid by then.
	voids seen
	// lost, since and pending belong to an unknown state: what was read since a gap.
	lost    bool
	since   id.Offset
	pending []pendingRecord
}

// Settings returns the version in force, which is zero before the first publish.
func (c *Control) Settings() SettingsVersion {
	if len(c.settings) == 0 {
		return SettingsVersion{}
	}

	return c.settings[len(c.settings)-1]
}

// History returns the latest settings versions, oldest first.
func (c *Control) History() []SettingsVersion { return c.settings }

// Key returns an issued key.
func (c *Control) Key(key id.Key) (KeyState, bool) {
	state, ok := c.keys[key]
	if !ok {
		return KeyState{}, false
	}

	return *state, true
}

// Keys returns all keys in no particular order.
func (c *Control) Keys() []KeyState {
	keys := make([]KeyState, 0, len(c.keys))
	for _, key := range c.keys {
		keys = append(keys, *key)
	}

	return keys
}

// Authenticate returns the key's state if the secret matches and the key is not withdrawn.
func (c *Control) Authenticate(key id.Key, secret string) (KeyState, bool) {
	state, ok := c.keys[key]
	if !ok || state.Withdrawn {
		return KeyState{}, false
	}
	if subtle.ConstantTimeCompare(state.hash, HashSecret(state.salt, secret)) != 1 {
		return KeyState{}, false
	}

	return *state, true
}

// Apply folds one control record, or keeps it until the state is known.
func (c *Control) Apply(pos id.Position, rec *record.Record) Reason {
	if c.lost {
		c.pending = append(c.pending, pendingRecord{pos: pos, rec: rec})

		return StateUnknown
	}

	return c.apply(pos, rec)
}

func (c *Control) apply(pos id.Position, rec *record.Record) Reason {
	c.now = pos.Offset()
	c.sweep()
	if c.voids.has(rec.GetId()) {
		return Duplicate
	}
	reason := c.judge(pos, rec)
	if reason != Valid {
		c.voids.add(rec.GetId(), pos.Offset())
	}

	return reason
}

func (c *Control) judge(pos id.Position, rec *record.Record) Reason {
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_SettingsPublish:
		return c.publish(pos, body.SettingsPublish)
	case *recordpb.Record_KeyIssue:
		return c.issue(pos, body.KeyIssue)
	case *recordpb.Record_KeyWithdraw:
		return c.withdraw(body.KeyWithdraw)
	case *recordpb.Record_Crash:
		return c.crash(pos, body.Crash)
	case *recordpb.Record_Reservation:
		return c.reserve(pos, rec, body.Reservation)
	default:
		return UnknownKind
	}
}

func (c *Control) publish(pos id.Position, body *recordpb.SettingsPublish) Reason {
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

// trimHistory keeps the version in force and a bounded number and size of earlier ones.
func (c *Control) trimHistory() {
	last := len(c.settings) - 1
	keep := last
	for size := 0; keep > 0 && len(c.settings)-keep < historyLimit; keep-- {
		size += len(c.settings[keep-1].Document)
		if size > historyBytes {
			break
		}
	}
	c.settings = slices.Clone(c.settings[keep:])
}

func (c *Control) issue(pos id.Position, body *recordpb.KeyIssue) Reason {
	key := id.Key(body.GetKey())
	if _, ok := c.keys[key]; ok {
		return KeyExists
	}
	if c.keys == nil {
		c.keys = make(map[id.Key]*KeyState)
	}
	c.keys[key] = &KeyState{
		Key:       key,
		Workspace: id.Workspace(body.GetWorkspace()),
		Issued:    pos,
		salt:      body.GetSalt(),
		hash:      body.GetHash(),
	}

	return Valid
}

func (c *Control) withdraw(body *recordpb.KeyWithdraw) Reason {
	state, ok := c.keys[id.Key(body.GetKey())]
	if !ok {
		return NoSuchKey
	}
	state.Withdrawn = true

	return Valid
}
