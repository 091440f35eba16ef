package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/reverseproxy"
)

// Guards against a host that ends since a client begins more programs than fit, and against programs that cannot go on since others have begun.
func TestNewProgramsAreRefusedWithoutMemoryForThem(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	c.programs.max = 2
	begin := func(program id.Program, attempt string) reverseproxy.BeginStatus {
		turn := newBudgetTurn(attempt)
		turn.Request.Program = program

		return c.BeginTurn(t.Context(), turn).Status
	}
	require.Equal(t, reverseproxy.TurnAllowed, begin("first", "a-1"))
	require.Equal(t, reverseproxy.TurnAllowed, begin("second", "b-1"))
	startedAt := time.Now()
	require.Equal(t, reverseproxy.TooManyPrograms, begin("third", "c-1"))
	require.Less(t, time.Since(startedAt), maxOwnerWait, "it is refused at once")
	require.Equal(t, reverseproxy.TurnAllowed, begin("first", "a-2"))
	c.countPrograms()
	require.Equal(t, reverseproxy.TooManyPrograms, begin("third", "c-2"))
	c.slots[c.hashSlot("first")].ledger.RemoveExpired(time.Now().Add(2 * budgetRetention))
	c.countPrograms()
	require.Equal(t, reverseproxy.TurnAllowed, begin("third", "c-3"))
}
