package id

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Host names one entry host of the system.
type Host string

// Incarnation identifies one process of a host, so that a host that starts again is told from its predecessor.
type Incarnation string

// FailureDomain names a set of hosts that fail together.
type FailureDomain string

// Workspace names a tenant in the settings tree.
type Workspace string

// Service names a model service or a plain service in the settings tree.
type Service string

// Upstream names one back end of a service.
type Upstream string

// Model names a model that engines serve.
type Model string

// APIKey identifies a caller's key without its secret.
type APIKey string

// Program identifies a chain of dependent calls; a sub-agent's id extends its parent's with a dot.
type Program string

// Root returns the program at the top of a sub-agent's chain of parents.
func (p Program) Root() Program {
	root, _, _ := strings.Cut(string(p), ".")

	return Program(root)
}

// Tokens counts model tokens.
type Tokens int64

// Turn is the sequence number of a turn in its program, starting at 1.
type Turn uint32

// Fingerprint is a hash of a request's content.
type Fingerprint uint64

// Stream names a stream of the platform's log.
type Stream string

// Offset is the place of an append in a stream, starting at 0.
type Offset uint64

// recordBits is how many bits of a Position count the records inside one append.
const recordBits = 16

// Position is the place of a record in a stream: the offset of its append and its index in the batch.
type Position uint64

// NewPosition returns the position of the record at index in the append at offset.
func NewPosition(offset Offset, index int) Position {
	return Position(uint64(offset+1)<<recordBits | uint64(index))
}

// Offset returns the offset of the append that holds the position.
func (p Position) Offset() Offset {
	return Offset(uint64(p)>>recordBits) - 1
}

// Epoch is the position of the claim that made a host the owner of a slot; it fences older owners.
type Epoch = Position

// SlotCount is the fixed number of slots that programs and workspaces hash to.
const SlotCount = 4096

// Slot is a part of the key space that one host owns at a time.
type Slot uint16

// ProgramSlot returns the slot of a program, which its sub-agents share.
func ProgramSlot(p Program) Slot {
	return Slot(xxhash.Sum64String(string(p.Root())) % SlotCount)
}

// WorkspaceSlot returns the slot of a workspace's rate bucket.
func WorkspaceSlot(w Workspace) Slot {
	return Slot(xxhash.Sum64String("workspace/"+string(w)) % SlotCount)
}

// UpstreamSlot returns the slot whose owner looks after an upstream.
func UpstreamSlot(u Upstream) Slot {
	return Slot(xxhash.Sum64String("upstream/"+string(u)) % SlotCount)
}

// CallSlot returns the slot of a service call outside any program.
func CallSlot(w Workspace, key string) Slot {
	return Slot(xxhash.Sum64String("call/"+string(w)+"/"+key) % SlotCount)
}

// randomBytes is the length of a random identifier before encoding.
const randomBytes = 10

// NewRandom returns a new random identifier in lower-case hexadecimal.
func NewRandom() string {
	buf := make([]byte, randomBytes)
	rand.Read(buf)

	return hex.EncodeToString(buf)
}
