package id

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Host names a machine that runs the daemon.
type Host string

// Incarnation identifies one process of a host, so that a restarted host differs from its earlier process.
type Incarnation string

// FailureDomain names a set of hosts and upstreams that fail together, such as a zone.
type FailureDomain string

// Workspace names a tenant in the tree of settings.
type Workspace string

// Service names a service in the tree of settings: one whose upstreams are model engines, or a plain service, whose upstreams
// are other servers.
type Service string

// Upstream names one back end of a service: a model engine or a server of a plain service.
type Upstream string

// SoftwareVersion names the version of an upstream's software.
type SoftwareVersion string

// Model names a model that engines serve.
type Model string

// APIKey identifies a caller's API key, without its secret.
type APIKey string

// Program identifies a chain of dependent calls; a sub-agent's id extends its parent's with a dot.
type Program string

// Root returns the program at the top of a sub-agent's chain of parents, or the program itself if it has no parent.
func (p Program) Root() Program {
	root, _, _ := strings.Cut(string(p), ".")

	return Program(root)
}

// Tokens counts model tokens.
type Tokens int64

// Turn is the sequence number of a turn in its program, starting at 1.
type Turn uint32

// Fingerprint is a hash of a request's content, by which repeated requests are recognised.
type Fingerprint uint64

// Stream names a stream of the platform's log.
type Stream string

// Offset is the sequence number of an append in a stream, starting at 0.
type Offset uint64

// recordIndexBits is the number of low bits of a Position that hold the index of the record in its append.
const recordIndexBits = 16

// Position identifies a record in a stream by the offset of its append and its index in the batch; zero is before all
// records.
type Position uint64

// NewPosition returns the position of the record at index in the append at offset.
func NewPosition(offset Offset, index int) Position {
	return Position(uint64(offset+1)<<recordIndexBits | uint64(index))
}

// Offset returns the offset of the append that holds the record.
func (p Position) Offset() Offset {
	return Offset(uint64(p)>>recordIndexBits) - 1
}

// Epoch is the position of the claim that made a host the owner of a slot, which serves as a fencing token against
// earlier owners.
type Epoch = Position

// SlotCount is the fixed number of slots, the range of all hashes to a Slot.
const SlotCount = 4096

// Slot is the number of a hash partition of programs, workspaces, upstreams and calls, which one host owns at a time.
type Slot uint16

// ProgramSlot returns the slot of a program, which its sub-agents share.
func ProgramSlot(p Program) Slot {
	return Slot(xxhash.Sum64String(string(p.Root())) % SlotCount)
}

// WorkspaceSlot returns the slot of a workspace's rate-limit bucket.
func WorkspaceSlot(w Workspace) Slot {
	return Slot(xxhash.Sum64String("workspace/"+string(w)) % SlotCount)
}

// UpstreamSlot returns the slot whose owner manages an upstream.
func UpstreamSlot(u Upstream) Slot {
	return Slot(xxhash.Sum64String("upstream/"+string(u)) % SlotCount)
}

// CallSlot returns the slot of a service call, by its workspace and idempotency key.
func CallSlot(w Workspace, key string) Slot {
	return Slot(xxhash.Sum64String("call/"+string(w)+"/"+key) % SlotCount)
}

// randomBytes is the length of a random identifier in bytes, before encoding.
const randomBytes = 10

// NewRandom returns a new random identifier of 20 lower-case hexadecimal digits.
func NewRandom() string {
	buf := make([]byte, randomBytes)
	rand.Read(buf)

	return hex.EncodeToString(buf)
}
