package logserver

import (
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/io/platformclient"
)

// Faults are injected failures.
type Faults struct {
	// Down refuses all requests without processing them.
	Down bool `json:"down"`
	// ResponseDelayMillis delays each response, in milliseconds.
	ResponseDelayMillis int64 `json:"slow-ms"`
	// LostAppendResponses is how many of the next appends are stored but get no response.
	LostAppendResponses int `json:"lose-answers"`
	// MaxEntriesPerStream is how many entries a stream keeps; zero keeps all.
	MaxEntriesPerStream int `json:"keep"`
	// RetentionMillis is how long an entry is kept, in milliseconds; zero keeps it forever.
	RetentionMillis int64 `json:"keep-ms"`
	// MaxAppendsPerSecond is the rate limit of appends; zero sets none.
	MaxAppendsPerSecond int `json:"appends-per-second"`
}

// entry is an appended entry and the time of its append.
type entry struct {
	offset     id.Offset
	data       []byte
	appendedAt time.Time
}

// stream contains the retained entries of one stream; changed is closed and replaced by each append.
type stream struct {
	first   id.Offset
	next    id.Offset
	entries []entry
	changed chan struct{}
}

// Store keeps the streams in memory; the zero value is an empty store.
type Store struct {
	mu              sync.Mutex
	streams         map[id.Stream]*stream
	faults          Faults
	rateWindowStart time.Time
	appendsInWindow int
	appends         int64
	bytes           int64
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// AppendCounts returns the totals of accepted appends and bytes.
func (s *Store) AppendCounts() (appends, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.appends, s.bytes
}

// takeLostResponse reports whether the response to this append is to be dropped, and counts it off.
func (s *Store) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostAppendResponses == 0 {
		return false
	}
	s.faults.LostAppendResponses--

	return true
}

// Append adds an entry and returns its offset, or false if the rate limit refuses it.
func (s *Store) Append(name id.Stream, data []byte, now time.Time) (id.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowAppend(now) {
		return 0, false
	}
	st := s.stream(name)
	offset := st.next
	st.next++
	st.entries = append(st.entries, entry{offset: offset, data: data, appendedAt: now})
	s.removeExpired(st, now)
	close(st.changed)
	st.changed = make(chan struct{})
	s.appends++
	s.bytes += int64(len(data))

	return offset, true
}

func (s *Store) allowAppend(now time.Time) bool {
	if s.faults.MaxAppendsPerSecond == 0 {
		return true
	}
	if now.Sub(s.rateWindowStart) >= time.Second {
		s.rateWindowStart = now
		s.appendsInWindow = 0
	}
	s.appendsInWindow++

	return s.appendsInWindow <= s.faults.MaxAppendsPerSecond
}

// maxPageBytes is the size of data after which a page is full.
const maxPageBytes = 4 << 20

// Read returns a page of the entries from an offset on and a channel that is closed by the next append.
func (s *Store) Read(name id.Stream, from id.Offset, now time.Time) (platformclient.LogPage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.removeExpired(st, now)
	page := platformclient.LogPage{FirstOffset: st.first, NextOffset: st.next, Entries: []platformclient.LogEntry{}}
	if from < st.first {
		from = st.first
	}
	size := 0
	for i := int(from - st.first); i < len(st.entries) && size < maxPageBytes; i++ {
		page.Entries = append(page.Entries, platformclient.LogEntry{Offset: st.entries[i].offset, Data: st.entries[i].data})
		size += len(st.entries[i].data)
	}

	return page, st.changed
}

func (s *Store) stream(name id.Stream) *stream {
	if s.streams == nil {
		s.streams = make(map[id.Stream]*stream)
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}

	return st
}

func (s *Store) removeExpired(st *stream, now time.Time) {
	drop := 0
	if s.faults.MaxEntriesPerStream > 0 {
		drop = max(0, len(st.entries)-s.faults.MaxEntriesPerStream)
	}
	keep := time.Duration(s.faults.RetentionMillis) * time.Millisecond
	for keep > 0 && drop < len(st.entries) && now.Sub(st.entries[drop].appendedAt) > keep {
		drop++
	}
	st.entries = st.entries[drop:]
	st.first = st.next - id.Offset(len(st.entries))
}
