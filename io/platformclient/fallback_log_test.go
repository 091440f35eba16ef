package platformclient

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
)

// switchableLog is a log without entries that can be down.
type switchableLog struct {
	down      atomic.Bool
	responses atomic.Int64
}

func (l *switchableLog) Append(context.Context, id.Stream, []byte) (id.Offset, error) {
	return 0, apierror.New(apierror.LogUnavailable, "the log is down")
}

func (l *switchableLog) Read(ctx context.Context, _ id.Stream, _ id.Offset, wait time.Duration) (LogPage, error) {
	if l.down.Load() {
		return LogPage{}, apierror.New(apierror.LogUnavailable, "the log is down")
	}
	sleepContext(ctx, wait)
	if ctx.Err() == nil {
		l.responses.Add(1)
	}

	return LogPage{}, ctx.Err()
}

// fallbackHost is a host with its FallbackLog and the time up to which it has read the log.
type fallbackHost struct {
	fallbackLog *FallbackLog
	log         *switchableLog
	logReadAt   time.Time
	peerReads   atomic.Int64
}

// readLog reads as a journal does until ctx ends.
func (h *fallbackHost) readLog(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, longPollWait+responseGrace)
		page, err := h.fallbackLog.Read(readCtx, ControlStream, 0, longPollWait)
		cancel()
		if err != nil {
			sleepContext(ctx, minRetryBackoff)

			continue
		}
		if logReadAt := requestedAt.Add(-page.Age); logReadAt.After(h.logReadAt) {
			h.logReadAt = logReadAt
		}
	}
}

// peerRoundTrip is the duration of a read from a peer.
const peerRoundTrip = 100 * time.Microsecond

// newFallbackPair returns two hosts that read from each other, with ages in whole milliseconds as in the RPC.
func newFallbackPair() [2]*fallbackHost {
	var pair [2]*fallbackHost
	for i := range pair {
		h := &fallbackHost{log: &switchableLog{}}
		h.fallbackLog = &FallbackLog{Log: h.log, ReadPeers: func(ctx context.Context, from id.Offset) (LogPage, error) {
			h.peerReads.Add(1)
			sleepContext(ctx, peerRoundTrip)
			page, err := pair[1-i].fallbackLog.CachedEntries(from, time.Now())
			page.Age = RoundUpToMillis(page.Age) + peerRoundTrip

			return page, err
		}}
		pair[i] = h
	}

	return pair
}

func TestFallbackLogsDoNotRefreshEachOtherDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := newFallbackPair()
		for _, h := range pair {
			go h.readLog(ctx)
		}
		time.Sleep(5 * time.Second)
		down := time.Now()
		for _, h := range pair {
			h.log.down.Store(true)
		}
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		for _, h := range pair {
			// A read that was waiting when the log went down still gets its response.
			require.WithinRange(t, h.logReadAt, down.Add(-longPollWait), down.Add(longPollWait))
			require.Less(t, h.peerReads.Load(), int64(20*time.Second/peerPollInterval)*4, "too many reads from peers")
		}
	})
}

func TestFallbackLogReadsLogAgainAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := newFallbackPair()
		for _, h := range pair {
			go h.readLog(ctx)
		}
		time.Sleep(5 * time.Second)
		for _, h := range pair {
			h.log.down.Store(true)
		}
		time.Sleep(20 * time.Second)
		responses := [2]int64{pair[0].log.responses.Load(), pair[1].log.responses.Load()}
		for _, h := range pair {
			h.log.down.Store(false)
		}
		up := time.Now()
		time.Sleep(2 * longPollWait)
		cancel()
		synctest.Wait()
		for i, h := range pair {
			require.Greater(t, h.log.responses.Load(), responses[i], "the log must respond to reads again")
			require.False(t, h.logReadAt.Before(up), "the last read is %s older than the end of the outage", up.Sub(h.logReadAt))
		}
	})
}

func TestFallbackLogReadsPeersWhileLogIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := newFallbackPair()
		pair[0].log.down.Store(true)
		for _, h := range pair {
			go h.readLog(ctx)
		}
		time.Sleep(20 * time.Second)
		now := time.Now()
		cancel()
		synctest.Wait()
		require.Less(t, now.Sub(pair[0].logReadAt), maxKeyStaleness-longPollWait)
	})
}

func TestFallbackLogWithoutAnyReadReturnsError(t *testing.T) {
	_, err := (&FallbackLog{}).CachedEntries(0, time.Now())
	require.Error(t, err, "an age since the zero time overflows")
}

func TestRoundUpToMillisRoundsUp(t *testing.T) {
	for _, tt := range []struct{ age, want time.Duration }{
		{0, 0},
		{time.Nanosecond, time.Millisecond},
		{time.Millisecond, time.Millisecond},
		{time.Millisecond + time.Nanosecond, 2 * time.Millisecond},
	} {
		require.Equal(t, tt.want, RoundUpToMillis(tt.age))
	}
}
