package platform

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

// relayedLog is a log that is up or down and holds no entries.
type relayedLog struct {
	down     atomic.Bool
	answered atomic.Int64
}

func (l *relayedLog) Append(context.Context, id.Stream, []byte) (id.Offset, error) {
	return 0, apierror.New(apierror.LogUnavailable, "the log is down")
}

func (l *relayedLog) Read(ctx context.Context, _ id.Stream, _ id.Offset, wait time.Duration) (Page, error) {
	if l.down.Load() {
		return Page{}, apierror.New(apierror.LogUnavailable, "the log is down")
	}
	sleep(ctx, wait)
	if ctx.Err() == nil {
		l.answered.Add(1)
	}

	return Page{}, ctx.Err()
}

// relayed is a host's relay with when its reads were last news.
type relayed struct {
	relay *Relay
	log   *relayedLog
	heard time.Time
	asked atomic.Int64
}

// read reads as a journal does until ctx ends.
func (r *relayed) read(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, readWait+readGrace)
		page, err := r.relay.Read(readCtx, ControlStream, 0, readWait)
		cancel()
		if err != nil {
			sleep(ctx, minRetryPause)

			continue
		}
		if heard := sent.Add(-page.Age); heard.After(r.heard) {
			r.heard = heard
		}
	}
}

// peersRoundTrip is how long a question to a peer takes.
const peersRoundTrip = 100 * time.Microsecond

// relayPair returns two relays that ask each other, with ages as whole milliseconds as on the wire.
func relayPair() [2]*relayed {
	var pair [2]*relayed
	for i := range pair {
		r := &relayed{log: &relayedLog{}}
		r.relay = &Relay{Log: r.log, Peers: func(ctx context.Context, from id.Offset) (Page, error) {
			r.asked.Add(1)
			sleep(ctx, peersRoundTrip)
			page, err := pair[1-i].relay.Recent(from, time.Now())
			page.Age = WholeMillis(page.Age) + peersRoundTrip

			return page, err
		}}
		pair[i] = r
	}

	return pair
}

func TestRelaysThatNoLogAnswersTellEachOtherNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := relayPair()
		for _, r := range pair {
			go r.read(ctx)
		}
		time.Sleep(5 * time.Second)
		down := time.Now()
		for _, r := range pair {
			r.log.down.Store(true)
		}
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		for _, r := range pair {
			// A read that waited when the log went down is still answered.
			require.WithinRange(t, r.heard, down.Add(-readWait), down.Add(readWait))
			require.Less(t, r.asked.Load(), int64(20*time.Second/relayInterval)*4, "questions to peers")
		}
	})
}

func TestRelaysReadTheLogAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := relayPair()
		for _, r := range pair {
			go r.read(ctx)
		}
		time.Sleep(5 * time.Second)
		for _, r := range pair {
			r.log.down.Store(true)
		}
		time.Sleep(20 * time.Second)
		answered := [2]int64{pair[0].log.answered.Load(), pair[1].log.answered.Load()}
		for _, r := range pair {
			r.log.down.Store(false)
		}
		up := time.Now()
		time.Sleep(2 * readWait)
		cancel()
		synctest.Wait()
		for i, r := range pair {
			require.Greater(t, r.log.answered.Load(), answered[i], "answers of the log")
			require.False(t, r.heard.Before(up), "news are %s older than the log's return", up.Sub(r.heard))
		}
	})
}

func TestRelayOfACutOffHostHearsThroughItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pair := relayPair()
		pair[0].log.down.Store(true)
		for _, r := range pair {
			go r.read(ctx)
		}
		time.Sleep(20 * time.Second)
		now := time.Now()
		cancel()
		synctest.Wait()
		require.Less(t, now.Sub(pair[0].heard), staleAfter-readWait)
	})
}

func TestRelayThatHasHeardNothingTellsNothing(t *testing.T) {
	_, err := (&Relay{}).Recent(0, time.Now())
	require.Error(t, err, "an age since the zero time overflows")
}

func TestAgesAreRoundedUp(t *testing.T) {
	for _, tt := range []struct{ age, want time.Duration }{
		{0, 0},
		{time.Nanosecond, time.Millisecond},
		{time.Millisecond, time.Millisecond},
		{time.Millisecond + time.Nanosecond, 2 * time.Millisecond},
	} {
		require.Equal(t, tt.want, WholeMillis(tt.age))
	}
}
