package leastcost_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leastcost"
)

func TestRankBeginsWithTheChosenUpstreamAndHasNoExcludedOne(t *testing.T) {
	candidates := newEngines(6)
	excluded := map[id.Upstream]struct{}{"u3": {}}
	for i := range 50 {
		request := newTurnRequest("u1")
		request.AffinityKey = fmt.Sprint(i)
		stateOf := newStates(map[id.Upstream]int{"u0": i % 7, "u1": i, "u2": i % 3, "u4": 20, "u5": i % 3}, i%2 == 0)
		ranked := leastcost.RankUpstreams(candidates, request, stateOf, excluded)
		require.Len(t, ranked, 5)
		require.Equal(t, leastcost.ChooseUpstream(candidates, request, stateOf, excluded).ID, ranked[0].Instance.ID)
		for j := range ranked[1:] {
			require.LessOrEqual(t, ranked[j].Cost.TotalMS(), ranked[j+1].Cost.TotalMS())
		}
	}
}

// TestRankByWorkBeginsWithTheChoiceAmongAll guards against a rank by other costs than those that a choice compares.
func TestRankByWorkBeginsWithTheChoiceAmongAll(t *testing.T) {
	candidates := newEngines(6)
	excluded := map[id.Upstream]struct{}{"u3": {}}
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		request := newTurnRequest("u1")
		work := map[id.Upstream]float64{}
		for _, candidate := range candidates {
			work[candidate.ID] = random.Float64() * 5000
		}
		stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
			state.RunningRequests, state.WorkMillis = 20, work[upstream]
		})
		ranked := leastcost.RankByWork(candidates, request, stateOf, excluded)
		require.Len(t, ranked, 5)
		require.Equal(t, leastcost.ChooseFromSample(candidates, request, stateOf, excluded, random, len(candidates)).ID, ranked[0].Instance.ID)
		for j := range ranked[1:] {
			require.LessOrEqual(t, ranked[j].Cost.TotalMS(), ranked[j+1].Cost.TotalMS())
		}
	}
}
