package gatewaysettings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/core/id"
)

func TestParseDecodesAllKeys(t *testing.T) {
	parsed, findings := gatewaysettings.Parse("gateway.yaml", []byte(`
overload:
  enabled: true
  weights:
    clerks: 2.5
    desk: 1
placement:
  learned-cost: true
  failure-domain-cost: 4ms
  local-directory: true
memory:
  budget-share: 0.4
`))
	require.Empty(t, findings)
	require.Equal(t, &gatewaysettings.Settings{
		Overload:  gatewaysettings.Overload{Enabled: true, Weights: map[id.Workspace]float64{"clerks": 2.5, "desk": 1}},
		Placement: gatewaysettings.Placement{LearnedCost: true, FailureDomainCost: 4 * time.Millisecond, LocalDirectory: true},
		Memory:    gatewaysettings.Memory{BudgetShare: 0.4},
	}, parsed)
}

func TestEmptyDocumentDisablesAllParts(t *testing.T) {
	for _, source := range []string{"", "# nothing\n", "overload:\n"} {
		parsed, findings := gatewaysettings.Parse("gateway.yaml", []byte(source))
		require.Empty(t, findings)
		require.Equal(t, &gatewaysettings.Settings{}, parsed)
	}
}

func TestParseReportsAllFindingsWithTheirPositions(t *testing.T) {
	parsed, findings := gatewaysettings.Parse("gateway.yaml", []byte(`overload:
  enabled: yes please
  weights:
    clerks: -1
    desk: .nan
placement:
  failure-domain-cost: 4
  learned: true
memory:
  budget-share: 0.9
`))
	require.Nil(t, parsed)
	var texts []string
	for _, finding := range findings {
		texts = append(texts, finding.String())
	}
	require.Equal(t, []string{
		"gateway.yaml:2:12: overload.enabled: allowed is true or false",
		"gateway.yaml:4:13: overload.weights.clerks: allowed is a number from 0.01 to 1000",
		"gateway.yaml:5:11: overload.weights.desk: allowed is a number from 0.01 to 1000",
		"gateway.yaml:7:24: placement.failure-domain-cost: allowed is a duration with its unit, such as 4ms, up to 1s",
		"gateway.yaml:8:3: placement.learned: the key is unknown",
		"gateway.yaml:10:17: memory.budget-share: allowed is a number from 0 to 0.8",
	}, texts)
}

func TestParseReportsSyntaxErrors(t *testing.T) {
	parsed, findings := gatewaysettings.Parse("gateway.yaml", []byte("overload: [\n"))
	require.Nil(t, parsed)
	require.Len(t, findings, 1)
}
