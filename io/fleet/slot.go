package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/tokenbudget"
	"cardamomward/core/turnstore"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

type slotState int

const (
	// idle slots belong to another host.
	idle slotState = iota
	// loading slots belong to this host, which reads what its predecessor kept.
	loading
	// serving slots are decided for here, on all that was kept or, where partial is set, on what the hosts hold.
	serving
)

const (
	// pageBytes is the most that a page of a slot's records holds, in bytes, as the platform's pages state; its text is a
	// third longer.
	pageBytes = 4 << 20 / 3
	// linesKept is how long after its last turn it is remembered where a program ran.
	linesKept = 15 * time.Second
	// retentionMargin is how much longer than promised records are kept.
	retentionMargin = 10 * time.Second
)

// slot is one part of the programs and workspaces.
type slot struct {
	fleet  *Fleet
	index  int
	writer *writer

	mu    sync.Mutex
	state slotState
	epoch int64
	// deputy is set while this host acts for an owner that is gone, since the store is away.
	deputy bool
	// partial is set while the slot is served on what the hosts hold, since its records cannot be read.
	partial bool
	// since is when the slot began to serve.
	since time.Time
	// first is set where nobody has kept anything in the slot before.
	first  bool
	ledger tokenbudget.Ledger
	book   turnstore.Store
	lines  affinity.Locations
	pools  map[id.Workspace]*quota.Allocator
	// changed is closed and replaced when something became durable or the state changed.
	changed chan struct{}
}

func newSlot(f *Fleet, index int) *slot {
	s := &slot{fleet: f, index: index, changed: make(chan struct{})}
	s.writer = newWriter(s)

	return s
}

// notify wakes those that wait; the caller holds the lock.
func (s *slot) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// take begins to own the slot.
func (s *slot) take(ctx context.Context, generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deputy {
		s.drop("owned")
	}
	if s.state != idle {
		return
	}
	s.state, s.epoch = loading, generation
	go s.load(ctx, generation)
}

// act begins to act for the slot's owner, which is gone while the store is away; the caller holds the lock.
func (s *slot) act(ctx context.Context) {
	s.state, s.deputy = loading, true
	go s.serveRecalled(ctx)
}

// serveRecalled serves the slot on what the hosts hold.
func (s *slot) serveRecalled(ctx context.Context) {
	s.mu.Lock()
	epoch, deputy := s.epoch, s.deputy
	s.mu.Unlock()
	replies := s.fleet.recall(ctx, s.index)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != loading || s.epoch != epoch || s.deputy != deputy {
		return
	}
	now := s.fleet.Now()
	s.partial = true
	s.merge(now, replies)
	s.state, s.since, s.first = serving, now, false
	s.notify()
	s.fleet.Logger.Info("slot-recalled", "slot", s.index, "owner", s.fleet.ownership.Load().owners[s.index],
		"deputy", deputy, "programs", s.ledger.Len(), "turns", s.book.Len())
}

// away reports whether the slot's records cannot be made durable now; the caller holds the lock.
func (s *slot) away(now time.Time) bool {
	if !s.partial && !s.writer.stuck(now) && !s.fleet.storeSilent(now) {
		return false
	}

	return s.fleet.hearsMost(now)
}

// serves reports whether this host decides for the slot now; the caller holds the lock.
func (s *slot) serves(ctx context.Context, now time.Time) bool {
	f := s.fleet
	switch {
	case s.deputy && !f.storeAway(now):
		s.drop("store-returned")
	case s.state == idle && f.storeAway(now) && f.owner(s.index) == f.self:
		s.act(context.WithoutCancel(ctx))
	}

	return s.state == serving && f.mayOwn(now)
}

// release gives the slot up and reports whether it was owned.
func (s *slot) release(reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.drop(reason)
}

// drop does so; the caller holds the lock.
func (s *slot) drop(reason string) bool {
	if s.state == idle {
		return false
	}
	s.fleet.Logger.Info("slot-released", "slot", s.index, "epoch", s.epoch, "reason", reason)
	s.state, s.deputy = idle, false
	s.forget()
	s.pools = nil
	s.notify()

	return true
}

// forget drops what is known of programs; the caller holds the lock.
func (s *slot) forget() {
	s.partial = false
	s.rescue(s.writer.reset())
	s.ledger, s.book, s.lines = tokenbudget.Ledger{}, turnstore.Store{}, affinity.Locations{}
}

// rescue hands turns that did not become durable to the next owner, each with the chain before it, since that may lack
// the turns before; the caller holds the lock.
func (s *slot) rescue(dropped []entry) {
	for _, e := range dropped {
		if e.turn == nil {
			continue
		}
		kept := withoutBase(e.turn)
		kept.Base = e.turn.Base
		if chain, ok := s.book.Transcript(id.Workspace(kept.Workspace), kept.Previous); ok {
			kept.Base = chain
		}
		s.fleet.holdTurn(context.Background(), &fleetpb.EndTurnRequest{
			Workspace: kept.Workspace, Program: kept.Program, Kept: kept,
		})
	}
}

// load fences the predecessor, reads what it kept and begins to serve.
func (s *slot) load(ctx context.Context, epoch int64) {
	began, recalled := s.fleet.Now(), false
	for attempt := 1; ctx.Err() == nil && s.owns(epoch); attempt++ {
		l, err := s.read(ctx, epoch, attempt)
		if err == nil {
			l.began = began
			s.begin(epoch, l)

			return
		}
		s.fleet.Logger.Error(err, "slot-load-failed", "slot", s.index, "epoch", epoch)
		if errorx.IsOfType(err, platform.ErrFenced) {
			s.release("fenced")
			s.fleet.rejoin.Store(true)

			return
		}
		if !recalled && !l.fenced && s.fleet.Now().Sub(began) > contactLimit {
			recalled = true
			go s.serveRecalled(ctx)
		}
		topicconsumer.SleepContext(ctx, refreshPause)
	}
}

func (s *slot) owns(epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state != idle && s.epoch == epoch
}

func (s *slot) partition() platform.Partition {
	return platform.Partition{Topic: s.fleet.topic, Part: s.index}
}

// loaded is what a new owner has learned of a slot.
type loaded struct {
	records []platform.Record
	replies []*fleetpb.RecallReply
	began   time.Time
	// fenced is set once the partition has taken the claim, so that it is not down.
	fenced bool
	// first is set where nobody has kept anything in the slot before.
	first bool
}

// read fences the predecessor, then reads what it kept while the hosts are asked what they hold.
// Each attempt allows more time for a page, so that a busy host gets through.
func (s *slot) read(ctx context.Context, epoch int64, attempt int) (loaded, error) {
	claim := platform.Append{Partition: s.partition(), Producer: producer, Epoch: epoch}
	err := s.fleet.call(ctx, func(ctx context.Context) error {
		_, err := s.fleet.store.Append(ctx, claim)

		return err
	})
	if err != nil {
		return loaded{}, err
	}
	replies := make(chan []*fleetpb.RecallReply, 1)
	go func() { replies <- s.fleet.recall(ctx, s.index) }()
	records, end, err := s.fleet.store.Newest(ctx, s.partition(), time.Duration(attempt)*s.fleet.timeout(pageBytes))
	if err != nil {
		return loaded{fenced: true}, err
	}

	return loaded{
		records: records, replies: <-replies, fenced: true, first: s.fleet.Settings.FirstStart && end == 0,
	}, nil
}

// begin restores the records and serves.
func (s *slot) begin(epoch int64, l loaded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || (s.state != loading && !s.partial) {
		return
	}
	s.forget()
	now := s.fleet.Now()
	for _, record := range l.records {
		s.restore(now, record)
	}
	s.book.ExtendRetention()
	s.writer.start(epoch)
	s.merge(now, l.replies)
	s.state, s.since, s.first = serving, now, l.first
	s.notify()
	s.fleet.Logger.Info("slot-taken", "slot", s.index, "epoch", epoch, "records", len(l.records),
		"programs", s.ledger.Len(), "turns", s.book.Len(), "first", l.first, "took", now.Sub(l.began))
}

func (s *slot) restore(now time.Time, record platform.Record) {
	var value fleetpb.Record
	if err := proto.Unmarshal(record.Value, &value); err != nil {
		s.fleet.Logger.Error(err, "record-refused", "slot", s.index, "key", record.Key, "offset", record.Offset)

		return
	}
	switch kind := value.Kind.(type) {
	case *fleetpb.Record_Budget:
		written := time.UnixMilli(kind.Budget.WrittenUnixMillis)
		s.ledger.Restore(tokenbudget.Watermark{
			Program: id.Program(record.Key[1:]), Tokens: id.Tokens(kind.Budget.Mark),
			ExpiresAt: restoredExpiry(now, written, kind.Budget.RetentionMillis),
		})
	case *fleetpb.Record_Turn:
		s.book.Add(turnOf(kind.Turn, restoredExpiry(now, time.UnixMilli(kind.Turn.EndedUnixMillis), kind.Turn.RetentionMillis)))
	}
}

// restoredExpiry counts from the time of day of the writer, which may differ from this host's, but never from later than now.
func restoredExpiry(now, written time.Time, retentionMillis int64) time.Time {
	if written.After(now) {
		written = now
	}

	return written.Add(time.Duration(retentionMillis)*time.Millisecond + retentionMargin)
}

func turnOf(kept *fleetpb.KeptTurn, expires time.Time) *turnstore.Turn {
	return &turnstore.Turn{
		ID: kept.Id, Workspace: id.Workspace(kept.Workspace), PreviousID: kept.Previous,
		PriorTranscript: kept.Base, Input: kept.Input, Output: kept.Output, ExpiresAt: expires,
	}
}

// Keys of the records of a slot.
const (
	budgetKey = "b"
	turnKey   = "t"
)

// expire forgets what has expired, here and in the store.
func (s *slot) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != serving {
		return
	}
	s.lines.RemoveOlderThan(now, linesKept)
	for _, program := range s.ledger.RemoveExpired(now) {
		s.writer.add(entry{record: platform.Record{Key: budgetKey + string(program)}}, false)
	}
	for _, turn := range s.book.RemoveExpired(now) {
		s.writer.add(entry{record: platform.Record{Key: turnKey + turn}}, false)
	}
}

// flush waits until all records are durable or ctx ends.
func (s *slot) flush(ctx context.Context) {
	for ctx.Err() == nil && s.writer.pending() {
		topicconsumer.SleepContext(ctx, writeRetry)
	}
}
