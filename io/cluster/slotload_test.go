package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
)

// slowStore answers each listing late, or the first ones never.
type slowStore struct {
	*fakeStore

	delay      time.Duration
	unanswered int64
	listings   atomic.Int64
}

func (s *slowStore) ReadNewestPage(ctx context.Context, p platform.Partition, afterKey string, timeout time.Duration) (platform.NewestPage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	delay := s.delay
	if s.listings.Add(1) <= s.unanswered {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return platform.NewestPage{}, platform.ErrInDoubt.Wrap(ctx.Err(), "list")
	case <-time.After(delay):
		return s.fakeStore.ReadNewestPage(ctx, p, afterKey, timeout)
	}
}

func TestSlotIsLoadedAsSoonAsBusyStoreAnswers(t *testing.T) {
	const delay = 700 * time.Millisecond
	c, store := newTestCluster(t)
	c.Settings.LinkBytesPerSecond = 75e6
	slow := &slowStore{fakeStore: store, delay: delay}
	replaceStore(t, c, slow)
	c.renewMembership(t.Context())
	require.Eventually(t, c.isServing, delay+300*time.Millisecond, 5*time.Millisecond)
	require.EqualValues(t, 1, slow.listings.Load(), "a read that is answered late is not given up")
}

func TestSlotIsLoadedIfAnswerIsLost(t *testing.T) {
	c, store := newTestCluster(t)
	c.Settings.LinkBytesPerSecond = 75e6
	replaceStore(t, c, &slowStore{fakeStore: store, unanswered: 1})
	c.renewMembership(t.Context())
	require.Eventually(t, c.isServing, 1200*time.Millisecond, 5*time.Millisecond)
}

// Retained turns of a busy slot take long to read over a slow link.
func TestSlotIsLoadedHoweverLongItsPagesTake(t *testing.T) {
	c, store := newTestCluster(t)
	c.Settings.LinkBytesPerSecond = 75e6
	replaceStore(t, c, &slowStore{fakeStore: store, delay: 2 * time.Second})
	c.renewMembership(t.Context())
	require.Eventually(t, c.isServing, 6*time.Second, 20*time.Millisecond)
}
