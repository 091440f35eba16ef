package expiry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/expiry"
	"cardamomward/core/id"
)

func TestProgramExpiresAfterLeaseWithoutActivity(t *testing.T) {
	var tracker expiry.Tracker
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	program := expiry.Program{ID: "a", Lease: 10 * time.Second, LastRecord: 1}
	require.Empty(t, tracker.SweepExpired(at(0), []expiry.Program{program}))
	require.Empty(t, tracker.SweepExpired(at(9), []expiry.Program{program}))
	program.LastRecord = 2
	require.Empty(t, tracker.SweepExpired(at(9), []expiry.Program{program}), "a record is activity")
	require.Empty(t, tracker.SweepExpired(at(18), []expiry.Program{program}))
	program.HasRunningCall = true
	require.Empty(t, tracker.SweepExpired(at(30), []expiry.Program{program}), "a running call is activity")
	program.HasRunningCall = false
	require.Empty(t, tracker.SweepExpired(at(39), []expiry.Program{program}))
	require.Equal(t, []id.Program{"a"}, tracker.SweepExpired(at(40), []expiry.Program{program}))

	var next expiry.Tracker
	require.Empty(t, next.SweepExpired(at(40), []expiry.Program{program}), "a new owner starts with a full lease")
}

func TestSubAgentActivityKeepsParentsAlive(t *testing.T) {
	var tracker expiry.Tracker
	now := time.Unix(1000, 0)
	lease := 10 * time.Second
	programs := []expiry.Program{{ID: "a", Lease: lease}, {ID: "a.b", Lease: lease}, {ID: "a.b.c", Lease: lease}, {ID: "a.d", Lease: lease}}
	require.Empty(t, tracker.SweepExpired(now, programs))
	programs[2].HasRunningCall = true
	require.Equal(t, []id.Program{"a.d"}, tracker.SweepExpired(now.Add(lease), programs))
}
