package cluster

import (
	"errors"
	"sync/atomic"

	"github.com/twitchtv/twirp"

	"cardamomward/core/id"
)

const (
	// programBytes is the memory that a program takes at the owner of its slot, and programShare the part of a host's memory for all of
	// them.
	programBytes = 2 << 10
	programShare = 8
	// originBytes is the memory that the origin of a stream takes, and originShare the part of a host's memory for each of the two
	// generations of them.
	originBytes = 512
	originShare = 32
)

// errTooManyPrograms refuses the first turn of a program.
var errTooManyPrograms = twirp.NewError(twirp.ResourceExhausted, "the owner has no memory for another program")

func isTooManyPrograms(err error) bool {
	var twirpErr twirp.Error

	return errors.As(err, &twirpErr) && twirpErr.Code() == twirp.ResourceExhausted
}

// programLimit bounds the programs whose tokens and locations a host keeps until they expire: a client may begin any number of them. Its zero
// value has no bound.
type programLimit struct {
	max   int64
	count atomic.Int64
}

// setMemory sets the limit of a host with some bytes of memory, zero if that is unknown.
func (l *programLimit) setMemory(bytes int64) { l.max = bytes / programShare / programBytes }

func (l *programLimit) isFull() bool { return l.max > 0 && l.count.Load() >= l.max }

// knowsProgram reports whether the slot has state of a program; the caller holds the lock.
func (s *slot) knowsProgram(program id.Program) bool {
	return s.locations.HasProgram(program) || s.ledger.HasAccount(program)
}

// programCount returns the number of programs of which the slot has state.
func (s *slot) programCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return int64(max(s.locations.Len(), s.ledger.Len()))
}

// countPrograms counts the programs of all slots, some of which have expired or have come with a slot.
func (c *Cluster) countPrograms() {
	var count int64
	for _, s := range c.slots {
		count += s.programCount()
	}
	c.programs.count.Store(count)
}
