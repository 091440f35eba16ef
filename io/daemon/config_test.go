package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const hostSettingsYAML = `host: host-1
failure-domain: domain-a
caller-address: 127.0.0.1:0
operator-address: 127.0.0.1:0
peer-address: 127.0.0.1:7003
log-address: 127.0.0.1:7100
hosts-address: 127.0.0.1:7101
where-lifetime: 2s
max-body: 64KiB
`

func TestLoadConfigReadsValuesAndDefaults(t *testing.T) {
	config, findings := LoadConfig("host.yaml", []byte(hostSettingsYAML))
	require.Empty(t, findings)
	require.EqualValues(t, "host-1", config.Host)
	require.Equal(t, 2*time.Second, config.LocationTTL)
	require.Equal(t, 64<<10, config.MaxBodyBytes)
	require.Equal(t, 30*time.Second, config.DrainTimeout)
	require.Equal(t, Config{
		CallerAddress: loopbackAddress, OperatorAddress: loopbackAddress, PeerAddress: loopbackAddress, AppendLinger: 5 * time.Millisecond, LogRetention: time.Hour,
		LocationTTL: 10 * time.Second, DrainTimeout: 30 * time.Second, MaxBodyBytes: 4 << 20, MaxCalls: 4096, MaxHosts: 12,
	}, Config{}.withDefaults())
}

func TestLoadConfigReportsAllFindings(t *testing.T) {
	source := `host: Host 1
failure-domain: domain-a
caller-address: localhost:80
operator-address: 127.0.0.1:7002
peer-address: 127.0.0.1:7002
log-address: 127.0.0.1:0
where-lifetme: 2s
max-calls: 0
drain-timeout: 10
`
	_, findings := LoadConfig("host.yaml", []byte(source))
	wantFindings := []string{
		`host.yaml:1:1: hosts-address: the key is missing; allowed is an IP number and port`,
		`host.yaml:1:7: host: "Host 1" is not allowed`,
		`host.yaml:3:17: caller-address: "localhost:80" is not an IP number and port; allowed is an IP number of this host`,
		`host.yaml:5:15: peer-address: the address "127.0.0.1:7002" is that of operator-address too`,
		`host.yaml:6:14: log-address: "127.0.0.1:0" has the port 0`,
		`host.yaml:7:1: where-lifetme: the key is unknown, did you mean "where-lifetime"?`,
		`host.yaml:8:12: max-calls: "0" is too small; allowed is a whole number without a unit, from 1 to 1000000`,
		`host.yaml:9:16: drain-timeout: "10" has no unit; allowed is a duration with its unit`,
	}
	require.Len(t, findings, len(wantFindings), "%v", findings)
	for i, want := range wantFindings {
		require.Contains(t, findings[i].String(), want)
	}
}
