package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/intake"
)

const (
	callers intake.Port = iota
	directory
)

// at returns a time some seconds after the start of a test.
func at(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }

// Guards against ordinary requests that are refused because others came first and never end.
func TestOldestUnfinishedRequestYields(t *testing.T) {
	p := intake.New[string](100)
	for i, conn := range []string{"first", "second", "third", "late"} {
		_, _, ok := p.Add(at(i), callers, conn)
		require.True(t, ok)
	}
	reserve := func(seconds int, conn string, bytes int64) (string, intake.Verdict) {
		return p.Reserve(at(seconds), conn, bytes)
	}
	requireReserved := func(seconds int, conn string, bytes int64) {
		t.Helper()
		_, verdict := reserve(seconds, conn, bytes)
		require.Equal(t, intake.Reserved, verdict)
	}
	// The second begins its first request before the first one does, but was accepted later.
	for i, conn := range []string{"second", "first", "third"} {
		p.Begin(at(10+i), conn)
		requireReserved(12, conn, 33)
	}
	p.Begin(at(20), "late")
	victim, verdict := reserve(20, "late", 33)
	require.Equal(t, intake.Evict, verdict)
	require.Equal(t, "first", victim)
	p.MarkEvicted(victim)
	require.EqualValues(t, 99, p.Used(), "it holds its memory until it is gone")
	_, verdict = reserve(20, "late", 33)
	require.Equal(t, intake.Wait, verdict, "none is closed twice")
	p.MarkRefused("first")
	requireReserved(20, "late", 33)
	require.False(t, p.Finish("first"))
	require.True(t, p.Finish("third"))
	victim, _ = reserve(20, "late", 50)
	require.Equal(t, "second", victim)
	p.MarkEvicted("second")
	p.Remove("second")
	_, verdict = reserve(20, "late", 50)
	require.Equal(t, intake.Refuse, verdict, "what remains belongs to a request that is handled")
	p.AwaitNext(at(30), "third")
	requireReserved(30, "late", 50)
}

// Guards against ordinary requests that are closed as soon as they begin, since the responses to others wait for memory.
func TestResponsesDoNotCloseYoungRequests(t *testing.T) {
	p := intake.New[string](100)
	for _, conn := range []string{"handled", "arriving"} {
		_, _, ok := p.Add(at(0), callers, conn)
		require.True(t, ok)
		p.Begin(at(0), conn)
		_, verdict := p.Reserve(at(0), conn, 10)
		require.Equal(t, intake.Reserved, verdict)
	}
	require.True(t, p.Finish("handled"))
	_, verdict := p.Yield(at(0), "handled", 0, true)
	require.Equal(t, intake.Wait, verdict)
	victim, verdict := p.Yield(at(1), "handled", 0, true)
	require.Equal(t, intake.Evict, verdict, "it has taken too long")
	require.Equal(t, "arriving", victim)
}

// Guards against ordinary requests that are refused because large ones, which are handled and cannot yield, hold all memory.
func TestLargeRequestsLeaveMemoryToSmallOnes(t *testing.T) {
	const limit, large, small = 8 << 20, 1 << 20, 32 << 10
	p := intake.New[int](limit)
	admit := func(conn int, bytes int64) bool {
		_, _, ok := p.Add(at(0), callers, conn)
		require.True(t, ok)
		p.Begin(at(0), conn)
		if _, verdict := p.Reserve(at(0), conn, bytes); verdict != intake.Reserved {
			return false
		}

		return p.Finish(conn)
	}
	var handled []int
	for conn := range 2 * limit / large {
		if admit(conn, large) {
			handled = append(handled, conn)
		}
	}
	require.Len(t, handled, limit/large-1)
	require.True(t, admit(100, small))
	require.False(t, admit(101, large), "it does not take what is left to small ones")
	p.AwaitNext(at(1), handled[0])
	require.True(t, admit(102, large))
	for _, conn := range append(handled[1:], 100, 102) {
		p.Remove(conn)
	}
	require.Zero(t, p.Used())
	_, verdict := p.Reserve(at(1), 101, limit*3/4)
	require.Equal(t, intake.Reserved, verdict, "a single large request has the limit but for that part")
}

// Guards against requests that arrive at the same time and close each other, so that none is served.
func TestYoungRequestsWaitForEachOther(t *testing.T) {
	p := intake.New[string](100)
	for _, conn := range []string{"a", "b", "c"} {
		_, _, ok := p.Add(at(0), callers, conn)
		require.True(t, ok)
		p.Begin(at(0), conn)
		_, verdict := p.Reserve(at(0), conn, 33)
		require.Equal(t, intake.Reserved, verdict)
	}
	for _, conn := range []string{"a", "b", "c"} {
		_, verdict := p.Reserve(at(0), conn, 33)
		require.Equal(t, intake.Wait, verdict)
	}
	_, verdict := p.Reserve(at(1), "a", 33)
	require.Equal(t, intake.Refuse, verdict, "it has taken too long")
	victim, verdict := p.Reserve(at(1), "c", 33)
	require.Equal(t, intake.Evict, verdict)
	require.Equal(t, "a", victim)
	p.MarkEvicted("a")
	_, verdict = p.Reserve(at(1), "b", 33)
	require.Equal(t, intake.Wait, verdict, "the memory of one may be enough")
	p.MarkRefused("a")
	require.True(t, p.Finish("c"))
	victim, verdict = p.Yield(at(0), "c", 0, false)
	require.Equal(t, intake.Evict, verdict, "a whole request does not wait")
	require.Equal(t, "b", victim)
	_, verdict = p.Yield(at(0), "c", 33, false)
	require.Equal(t, intake.Refuse, verdict, "no other one holds more")
}

// Guards against requests that wait for memory that a closed connection's handler still holds.
func TestClosedConnectionInProgressIsNotWaitedFor(t *testing.T) {
	p := intake.New[string](100)
	for _, conn := range []string{"slow reader", "new"} {
		_, _, ok := p.Add(at(0), callers, conn)
		require.True(t, ok)
		p.Begin(at(0), conn)
		_, verdict := p.Reserve(at(0), conn, 50)
		require.Equal(t, intake.Reserved, verdict)
	}
	require.True(t, p.Finish("slow reader"))
	p.BeginWrite(at(0), "slow reader")
	p.MarkEvicted("slow reader")
	_, verdict := p.Reserve(at(10), "new", 50)
	require.Equal(t, intake.Refuse, verdict)
	p.Remove("slow reader")
	_, verdict = p.Reserve(at(10), "new", 50)
	require.Equal(t, intake.Reserved, verdict)
}

// Guards against a port that one crowd keeps from all others, and against requests in progress that are cut off for new connections.
func TestFullPortClosesTheLeastUsefulConnection(t *testing.T) {
	p := intake.New[string](100)
	p.SetMaxConns(callers, 3)
	p.SetMaxConns(directory, 1)
	for i, conn := range []string{"handled", "kept", "silent"} {
		_, hasVictim, ok := p.Add(at(i), callers, conn)
		require.True(t, ok)
		require.False(t, hasVictim)
	}
	for _, conn := range []string{"handled", "kept"} {
		p.Begin(at(5), conn)
		require.True(t, p.Finish(conn))
	}
	p.AwaitNext(at(6), "kept")
	add := func(seconds int, conn string) (string, bool) {
		victim, hasVictim, ok := p.Add(at(seconds), callers, conn)
		require.Equal(t, ok, hasVictim, "the port is full")
		if hasVictim {
			p.Remove(victim)
		}

		return victim, ok
	}
	victim, _ := add(10, "a")
	require.Equal(t, "silent", victim)
	p.Begin(at(11), "a")
	require.True(t, p.Finish("a"))
	victim, _ = add(12, "b")
	require.Equal(t, "kept", victim)
	p.Begin(at(13), "b")
	require.True(t, p.Finish("b"))
	_, ok := add(14, "c")
	require.False(t, ok, "all requests are in progress")
	p.BeginWrite(at(15), "handled")
	_, ok = add(17, "c")
	require.False(t, ok, "its client may read soon")
	victim, _ = add(18, "c")
	require.Equal(t, "handled", victim, "its client reads nothing")
	_, _, ok = p.Add(at(19), directory, "d")
	require.True(t, ok, "ports do not take each other's connections")
	require.Equal(t, 3, p.Conns(callers))
}

// Guards against accounts that do not return to zero whatever connections do, and against queues that keep closed connections.
func TestPoolIsEmptyAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := intake.New[int](1000)
		p.SetMaxConns(callers, 5)
		open := make(map[int]bool)
		next := 0
		remove := func(conn int) {
			p.MarkEvicted(conn)
			p.Remove(conn)
			delete(open, conn)
		}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := at(step)
			conn := rapid.IntRange(0, next).Draw(t, "conn")
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1:
				victim, hasVictim, ok := p.Add(now, callers, next)
				if hasVictim {
					require.True(t, open[victim])
					remove(victim)
				}
				if ok {
					open[next] = true
				}
				next++
			case 2:
				p.Begin(now, conn)
			case 3, 4:
				victim, verdict := p.Reserve(now, conn, rapid.Int64Range(0, 600).Draw(t, "bytes"))
				if verdict == intake.Evict {
					require.True(t, open[victim])
					require.NotEqual(t, conn, victim)
					remove(victim)
				}
			case 5:
				p.Finish(conn)
			case 6:
				p.AwaitNext(now, conn)
			case 7:
				p.BeginWrite(now, conn)
			case 8:
				p.EndWrite(conn)
			case 9:
				p.MarkRefused(conn)
			}
			require.LessOrEqual(t, p.Used(), p.Limit())
			require.GreaterOrEqual(t, p.Used(), int64(0))
			require.Equal(t, len(open), p.Conns(callers))
			require.LessOrEqual(t, p.Conns(callers), 5)
		}
		for conn := range open {
			p.Remove(conn)
		}
		require.Zero(t, p.Used())
		_, ok := p.OldestConn(at(1000), callers)
		require.False(t, ok)
	})
}

// Guards against ports that together take all descriptors of a host.
func TestPortsLeaveDescriptorsToOthers(t *testing.T) {
	for _, files := range []int{300, 3075, 8200} {
		limits := intake.LimitConns(files, 112<<20)
		sum := limits.Callers + limits.Peers + limits.Directory + limits.Readiness + limits.Metrics + limits.Relay + 2*limits.Relayed
		require.LessOrEqual(t, sum, files*25/32, "%d files", files)
		require.GreaterOrEqual(t, files-sum, limits.Callers*3/4, "each request of a caller needs a connection to an upstream")
	}
	require.EqualValues(t, 14<<20, intake.Bytes(112<<20))
	require.EqualValues(t, 8<<20, intake.Bytes(8<<20))
	require.EqualValues(t, 64<<20, intake.Bytes(0))
	require.Equal(t, intake.ConnLimits{Callers: 4096, Peers: 2048, Directory: 1024, Readiness: 256, Metrics: 256, Relayed: 512, Relay: 256}, intake.LimitConns(0, 0))
}
