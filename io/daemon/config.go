package daemon

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// Config is the configuration of one host.
type Config struct {
	Host          id.Host
	FailureDomain id.FailureDomain
	// CallerAddress, OperatorAddress and PeerAddress are IP addresses with ports to listen at; port 0 picks a free one.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// LogAddress and HostListAddress are the addresses of the platform's services.
	LogAddress      string
	HostListAddress string
	// AppendLinger is the batching delay of an append.
	AppendLinger time.Duration
	// LogRetention is the minimum time that the log retains records; snapshots are due before half of it has passed.
	LogRetention time.Duration
	// LocationTTL is the cache lifetime of the address of the host to use, at callers.
	LocationTTL time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int
	// MaxCalls bounds the concurrent upstream calls of this host.
	MaxCalls int
	// MaxHosts is the maximum number of hosts in the cluster; it must be the same at all hosts.
	MaxHosts int
}

// loopbackAddress is the listen address of a host that is started without settings.
const loopbackAddress = "127.0.0.1:0"

// LoadConfig parses and checks a host's settings and returns them, or all findings with their positions.
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
