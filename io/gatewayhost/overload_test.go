package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// overloadedPrograms is three times the slots of the engines.
const overloadedPrograms = 96

// startPrograms starts programs at all hosts at the same time and returns the responses to their first turns.
func (c *testCluster) startPrograms(programs []string) []standin.CallerResponse {
	responses := make([]standin.CallerResponse, len(programs))
	var tasks sync.WaitGroup
	for i, program := range programs {
		tasks.Go(func() {
			// The heartbeats between the starts show the load to all hosts.
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			responses[i] = c.sendTurn(i, program, "start-"+program)
		})
	}
	tasks.Wait()

	return responses
}

func (c *testCluster) sendTurn(number int, program, request string) standin.CallerResponse {
	response, err := standin.NewTurnRequest("/draft/", "secret", program, "", "body-"+request).Send(context.Background(), request, c.hosts[c.names[number%len(c.names)]].settings.CallerAddress)
	if err != nil {
		c.t.Errorf("request %s: %v", request, err)
	}

	return response
}

func newOverloadedCluster(t *testing.T, logs *logRecorder, settings *gatewaysettings.Settings) (c *testCluster, programs []string) {
	t.Helper()
	c = newTestCluster(t, 3, func(c *testCluster, _ *platform.HostSettings) {
		c.newLogger, c.gatewaySettings = logs.newLogger, settings
	})
	c.slowStreams(400 * time.Millisecond)
	programs = make([]string, overloadedPrograms)
	for i := range programs {
		programs[i] = fmt.Sprintf("overload-%d", i)
	}

	return c, programs
}

// Guards against refusals that are not true, that come without Retry-After, or that hit programs that have begun.
func TestOnlyFirstTurnsAreRefusedUnderOverload(t *testing.T) {
	var logs logRecorder
	c, programs := newOverloadedCluster(t, &logs, &gatewaysettings.Settings{Overload: gatewaysettings.Overload{
		Enabled: true, Weights: map[id.Workspace]float64{"clerks": 2, "nobody": 3},
	}})
	begun := []string{"begun-0", "begun-1", "begun-2"}
	for i, response := range c.startPrograms(begun) {
		require.Equal(t, http.StatusOK, response.Status, begun[i])
	}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range 12 {
			time.Sleep(100 * time.Millisecond)
			tasks.Go(func() {
				if response := c.sendTurn(i, begun[i%3], fmt.Sprintf("later-%d", i)); response.Status == http.StatusServiceUnavailable {
					t.Errorf("a turn of a program that has begun is refused: %s", response.Body)
				}
			})
		}
	})
	refused, refusedProgram := 0, ""
	for i, response := range c.startPrograms(programs) {
		if response.Status != http.StatusServiceUnavailable || !strings.Contains(response.Body, "over") {
			continue
		}
		refused++
		refusedProgram = programs[i]
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Empty(t, c.executionsOf("start-"+programs[i]), "a refusal promises that the request was not executed")
		require.Contains(t, logs.find("program-refused", "start-"+programs[i]), `"workspace"="clerks"`)
	}
	tasks.Wait()
	require.Positive(t, refused)
	require.Less(t, refused, len(programs))
	require.True(t, logs.contains("weights-unknown"))
	time.Sleep(time.Second)
	require.Equal(t, http.StatusOK, c.sendTurn(0, refusedProgram, "afterwards").Status, "slots are free again")
	require.Eventually(t, func() bool { return strings.Contains(logs.find("request", "afterwards"), `"begun"=false`) }, waitTimeout, 5*time.Millisecond,
		"a refused turn has reserved nothing")
}

func TestNoProgramIsRefusedWithAdmissionOff(t *testing.T) {
	var logs logRecorder
	c, programs := newOverloadedCluster(t, &logs, &gatewaysettings.Settings{})
	c.startPrograms(programs)
	require.False(t, logs.contains("program-refused"))
}
