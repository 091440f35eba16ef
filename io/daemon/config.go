package daemon

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// Config is a host's own settings.
type Config struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	// CallerAddress, OperatorAddress and PeerAddress are IP numbers and ports; port 0 takes a free one.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// LogAddress and HostsAddress are the platform's services.
	LogAddress      string
	HostListAddress string
	// AppendLinger is how long an append waits for more records.
	AppendLinger time.Duration
	// LogRetention is how long the log keeps records at least; snapshots are due before half of it has passed.
	LogRetention time.Duration
	// LocationTTL is how long callers may keep the answer to where.
	LocationTTL time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes int
	// MaxCalls bounds the upstream calls under way at this host.
	MaxCalls int
	// MaxHosts is the largest number of hosts that the fleet may have; all hosts must agree on it.
	MaxHosts int
}

// loopback is the address of a host that is started without settings.
const loopbackAddress = "127.0.0.1:0"

// LoadConfig checks a host's settings and returns them, or all findings by place.
func LoadConfig(file string, source []byte) (Config, []settings.Finding) {
	return settings.ParseMapping(file, source, configKeys)
}

// withDefaults fills the fields that are zero.
func (c Config) withDefaults() Config {
	defaults := settings.Defaults(configKeys)
	setDefault(&c.CallerAddress, loopbackAddress)
	setDefault(&c.OperatorAddress, loopbackAddress)
	setDefault(&c.PeerAddress, loopbackAddress)
	setDefault(&c.AppendLinger, defaults.AppendLinger)
	setDefault(&c.LogRetention, defaults.LogRetention)
	setDefault(&c.LocationTTL, defaults.LocationTTL)
	setDefault(&c.DrainTimeout, defaults.DrainTimeout)
	setDefault(&c.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(&c.MaxCalls, defaults.MaxCalls)
	setDefault(&c.MaxHosts, defaults.MaxHosts)

	return c
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}
