package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/fleet/fleetpb"
)

// findTurn looks up a turn for a request.
func (c *Cluster) findTurn(ctx context.Context, req *fleetpb.BeginTurnRequest) ([]byte, fleetpb.Outcome) {
	return (&turnSearch{cluster: c, workspace: req.Workspace, turn: req.Previous}).find(ctx)
}

func TestHeldTurnIsNotReportedAsMissing(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	serveForLong(c)
	c.heldMu.Lock()
	c.heldTurns["held"] = &heldTurn{turn: &fleetpb.KeptTurn{
		Id: "held", Program: string(testProgram), Workspace: string(testWorkspace), Previous: "first", Base: []byte("before;"), Input: []byte("in;"), Output: []byte("out\n"),
	}}
	c.heldTurns["incomplete"] = &heldTurn{turn: &fleetpb.KeptTurn{Id: "incomplete", Program: string(testProgram), Workspace: string(testWorkspace), Previous: "first"}}
	c.heldMu.Unlock()
	transcript, outcome := c.findTurn(t.Context(), &fleetpb.BeginTurnRequest{Workspace: string(testWorkspace), Previous: "held"})
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, outcome)
	require.Equal(t, "before;in;out\n", string(transcript))
	_, outcome = c.findTurn(t.Context(), &fleetpb.BeginTurnRequest{Workspace: string(testWorkspace), Previous: "incomplete"})
	require.Equal(t, fleetpb.Outcome_OUTCOME_UNSURE, outcome)
	_, outcome = c.findTurn(t.Context(), &fleetpb.BeginTurnRequest{Workspace: "others", Previous: "held"})
	require.Equal(t, fleetpb.Outcome_OUTCOME_UNKNOWN_TURN, outcome)
}

func TestTurnIsNotReportedAsMissingWhileHostIsSilent(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	serveForLong(c)
	setSilentPeer := func(silentFor time.Duration) {
		c.peers.mu.Lock()
		defer c.peers.mu.Unlock()
		lastHeardAt := time.Now().Add(-silentFor)
		c.peers.byHost["host-1"] = &peer{hostEntry: hostEntry{PeerAddress: "127.0.0.1:3"}, listedAt: lastHeardAt, lastHeardAt: lastHeardAt}
	}
	setSilentPeer(5 * time.Second)
	request := &fleetpb.BeginTurnRequest{Workspace: string(testWorkspace), Previous: "elsewhere"}
	_, outcome := c.findTurn(t.Context(), request)
	require.Equal(t, fleetpb.Outcome_OUTCOME_UNSURE, outcome, "the host may hold the turn")
	setSilentPeer(time.Minute)
	_, outcome = c.findTurn(t.Context(), request)
	require.Equal(t, fleetpb.Outcome_OUTCOME_UNKNOWN_TURN, outcome)
}

// After a loss of all hosts, no turn of another program was found until all slots had owners again.
func TestTurnIsFoundWhileOtherSlotHasNoOwner(t *testing.T) {
	c, _ := newTestCluster(t)
	c.slots = append(c.slots, newSlot(c, 1))
	c.setOwnership(&ownership{owners: []string{c.self, ""}})
	join(t, c)
	kept := newKeptTurn("first", "")
	for i := 0; c.hashSlot(kept.Program) != 0; i++ {
		kept.Program = fmt.Sprint("program-", i)
	}
	storeTurn(t, c, kept)
	transcript, outcome := c.findTurn(t.Context(), &fleetpb.BeginTurnRequest{Workspace: string(testWorkspace), Previous: "first"})
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, outcome)
	require.Equal(t, "first;done\n", string(transcript))
	serveForLong(c)
	_, outcome = c.findTurn(t.Context(), &fleetpb.BeginTurnRequest{Workspace: string(testWorkspace), Previous: "other"})
	require.Equal(t, fleetpb.Outcome_OUTCOME_UNSURE, outcome, "the next owner of the other slot may have the turn")
}
