package cluster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
)

// rememberedAppends is the number of appends whose repetition a partition recognizes.
const rememberedAppends = 5

type fakePartition struct {
	epoch        int64
	lastSequence int64
	// offsets are the responses to the last appends of the epoch by sequence number.
	offsets map[int64]int64
	records map[string]platform.Record
	end     int64
}

// fakeStore is a Store in memory with one group; hooks inject faults.
type fakeStore struct {
	mu         sync.Mutex
	partitions map[platform.Partition]*fakePartition
	generation int64
	member     string
	parts      []platform.Partition
	// maxRecordBytes bounds a record; zero means no limit.
	maxRecordBytes int
	// maxPageItems bounds a page of the newest records; zero means no limit.
	maxPageItems int
	// beforeAppend, beforeLeave and beforeJoin run before a call without the lock; an error is returned instead of
	// executing the call.
	beforeAppend hook[func(batch platform.AppendBatch) error]
	beforeLeave  hook[func() error]
	beforeJoin   hook[func() error]
	// beforePage does the same for reads of the newest records.
	beforePage hook[func() error]
	// afterAppend delays the response of the next append of records.
	afterAppend hook[func()]
	// lastResponseTime is when the store last responded to the host; unset means now.
	lastResponseTime hook[func() time.Time]
}

// hook holds a function that a test may replace while the goroutines of a host call it.
type hook[F any] struct{ current atomic.Pointer[F] }

func (h *hook[F]) set(f F) { h.current.Store(&f) }

func (h *hook[F]) clear() { h.current.Store(nil) }

// get returns the function, or nil if none is set.
func (h *hook[F]) get() *F { return h.current.Load() }

func (f *fakeStore) lastResponse() time.Time {
	if last := f.lastResponseTime.get(); last != nil {
		return (*last)()
	}

	return time.Now()
}

// swappableStore passes calls to a store that a test may replace while the goroutines of a host use it.
type swappableStore struct{ current atomic.Pointer[Store] }

func (s *swappableStore) get() Store { return *s.current.Load() }

func (s *swappableStore) Append(ctx context.Context, a platform.AppendBatch) (int64, error) {
	return s.get().Append(ctx, a)
}

func (s *swappableStore) Read(ctx context.Context, p platform.Partition, offset int64, maxWait time.Duration) (platform.RecordPage, error) {
	return s.get().Read(ctx, p, offset, maxWait)
}

func (s *swappableStore) ReadNewestPage(ctx context.Context, p platform.Partition, afterKey string, timeout time.Duration) (platform.NewestPage, error) {
	return s.get().ReadNewestPage(ctx, p, afterKey, timeout)
}

func (s *swappableStore) JoinGroup(ctx context.Context, group, member string, topics []string, lease time.Duration, generation int64) (platform.GroupMembership, error) {
	return s.get().JoinGroup(ctx, group, member, topics, lease, generation)
}

func (s *swappableStore) LeaveGroup(ctx context.Context, group, member string) error {
	return s.get().LeaveGroup(ctx, group, member)
}

func (s *swappableStore) ListPartitionOwners(ctx context.Context, group string) (map[platform.Partition]string, error) {
	return s.get().ListPartitionOwners(ctx, group)
}

// replaceStore makes a host of newTestHost use another store from its next call on.
func replaceStore(t *testing.T, c *Cluster, store Store) {
	t.Helper()
	swappable, ok := c.store.(*swappableStore)
	require.True(t, ok)
	swappable.current.Store(&store)
}

func (f *fakeStore) partition(p platform.Partition) *fakePartition {
	part, ok := f.partitions[p]
	if !ok {
		part = &fakePartition{offsets: make(map[int64]int64), records: make(map[string]platform.Record)}
		f.partitions[p] = part
	}

	return part
}

// Append appends a batch with the epochs and sequence numbers of the platform's store.
func (f *fakeStore) Append(_ context.Context, batch platform.AppendBatch) (int64, error) {
	if before := f.beforeAppend.get(); before != nil {
		if err := (*before)(batch); err != nil {
			return 0, err
		}
	}
	if len(batch.Records) > 0 {
		if delay := f.afterAppend.current.Swap(nil); delay != nil {
			defer (*delay)()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	part := f.partition(batch.Partition)
	for _, record := range batch.Records {
		if f.maxRecordBytes > 0 && platform.RecordSize(record) > f.maxRecordBytes {
			return 0, platform.ErrRefused.New("a record is too large")
		}
	}
	if batch.Producer != "" {
		switch {
		case batch.Epoch < part.epoch:
			return 0, platform.ErrFenced.New("epoch %d", batch.Epoch)
		case batch.Epoch > part.epoch:
			part.epoch, part.lastSequence = batch.Epoch, batch.Sequence-1
			clear(part.offsets)
		}
		if len(batch.Records) == 0 {
			return part.end, nil
		}
		if offset, ok := part.offsets[batch.Sequence]; ok {
			return offset, nil
		}
		if len(part.offsets) > 0 && batch.Sequence != part.lastSequence+1 {
			return 0, platform.ErrOutOfSequence.New("sequence %d", batch.Sequence)
		}
		part.lastSequence = batch.Sequence
		part.offsets[batch.Sequence] = part.end
		delete(part.offsets, batch.Sequence-rememberedAppends)
	}
	offset := part.end
	for _, record := range batch.Records {
		record.Offset = part.end
		part.records[record.Key] = record
		part.end++
	}

	return offset, nil
}

// Read returns the records from an offset on that are not superseded.
func (f *fakeStore) Read(_ context.Context, p platform.Partition, offset int64, _ time.Duration) (platform.RecordPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	part := f.partition(p)
	page := platform.RecordPage{NextOffset: part.end}
	for _, record := range part.records {
		if record.Offset >= offset {
			page.Records = append(page.Records, record)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })

	return page, nil
}

// ReadNewestPage returns the newest record of each key that is not deleted, in the order of keys.
func (f *fakeStore) ReadNewestPage(_ context.Context, p platform.Partition, afterKey string, _ time.Duration) (platform.NewestPage, error) {
	if before := f.beforePage.get(); before != nil {
		if err := (*before)(); err != nil {
			return platform.NewestPage{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	part := f.partition(p)
	page := platform.NewestPage{EndOffset: part.end}
	for _, key := range slices.Sorted(maps.Keys(part.records)) {
		record := part.records[key]
		switch {
		case len(record.Value) == 0 || key <= afterKey:
		case f.maxPageItems > 0 && len(page.Records) == f.maxPageItems:
			page.HasMore = true

			return page, nil
		default:
			page.Records = append(page.Records, record)
		}
	}

	return page, nil
}

// JoinGroup makes the caller the only member and owner of all partitions.
func (f *fakeStore) JoinGroup(_ context.Context, _, member string, _ []string, _ time.Duration, _ int64) (platform.GroupMembership, error) {
	if before := f.beforeJoin.get(); before != nil {
		if err := (*before)(); err != nil {
			return platform.GroupMembership{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member != member {
		f.member = member
		f.generation++
	}

	return platform.GroupMembership{Generation: f.generation, Partitions: slices.Clone(f.parts)}, nil
}

// LeaveGroup removes the member.
func (f *fakeStore) LeaveGroup(_ context.Context, _, member string) error {
	if before := f.beforeLeave.get(); before != nil {
		if err := (*before)(); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member == member {
		f.member = ""
		f.generation++
	}

	return nil
}

// ListPartitionOwners returns the member as the owner of all partitions.
func (f *fakeStore) ListPartitionOwners(context.Context, string) (map[platform.Partition]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners := make(map[platform.Partition]string)
	for _, p := range f.parts {
		if f.member != "" {
			owners[p] = f.member
		}
	}

	return owners, nil
}

func (f *fakeStore) hasRecord(p platform.Partition, key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.partition(p).records[key]

	return ok
}
