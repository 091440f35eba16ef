package leastcost_test

import (
	"fmt"
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
