package daemon

import (
	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// SettingsScope returns the specification of a host's settings.
func SettingsScope() settings.Scope {
	return settings.Scope{
		Name: "host",
		Doc:  "A host's own settings, a file of its own that `serve --settings` reads.",
		Keys: settings.SpecsOf(configKeys),
	}
}

// configKeys are the keys of a host's settings file.
var configKeys = []settings.Key[Config]{
	{
		Spec: settings.Spec{Name: "host", Type: settings.TypeName, Required: true, Doc: "Name of the host, which no other host has."},
		Set:  func(c *Config, v settings.Value) { c.Host = id.Host(v.Text) },
	},
	{
		Spec: settings.Spec{Name: "failure-domain", Type: settings.TypeName, Required: true, Doc: "Failure domain of the host."},
		Set:  func(c *Config, v settings.Value) { c.FailureDomain = id.FailureDomain(v.Text) },
	},
	listenAddressKey("caller-address", "Address for callers.", func(c *Config) *string { return &c.CallerAddress }),
	listenAddressKey("operator-address", "Address for operators.", func(c *Config) *string { return &c.OperatorAddress }),
	listenAddressKey("peer-address", "Address for other hosts.", func(c *Config) *string { return &c.PeerAddress }),
	remoteAddressKey("log-address", "Address of the platform's log.", func(c *Config) *string { return &c.LogAddress }),
	remoteAddressKey("hosts-address", "Address of the platform's list of hosts.", func(c *Config) *string { return &c.HostListAddress }),
	{
		Spec: settings.Spec{
			Name: "append-linger", Type: settings.TypeDuration, Default: "5ms", Min: "100us", Max: "1s",
			Doc: "How long an append to the log waits for more records.",
		},
		Set: func(c *Config, v settings.Value) { c.AppendLinger = v.Duration() },
	},
	{
		Spec: settings.Spec{
			Name: "log-retention", Type: settings.TypeDuration, Default: "1h", Min: "10s", Max: "8760h",
			Doc: "How long the log keeps records at least; snapshots are due before half of it has passed.",
		},
		Set: func(c *Config, v settings.Value) { c.LogRetention = v.Duration() },
	},
	{
		Spec: settings.Spec{
			Name: "where-lifetime", Type: settings.TypeDuration, Default: "10s", Min: "10ms", Max: "10m",
			Doc: "How long callers may keep the answer to which host to use.",
		},
		Set: func(c *Config, v settings.Value) { c.LocationTTL = v.Duration() },
	},
	{
		Spec: settings.Spec{
			Name: "drain-timeout", Type: settings.TypeDuration, Default: "30s", Min: "10ms", Max: "24h",
			Doc: "How long a graceful shutdown waits for requests under way.",
		},
		Set: func(c *Config, v settings.Value) { c.DrainTimeout = v.Duration() },
	},
	{
		Spec: settings.Spec{
			Name: "max-body", Type: settings.TypeSize, Default: "4MiB", Min: "1KiB", Max: "32MiB",
			Doc: "Largest body of a caller's request.",
		},
		Set: func(c *Config, v settings.Value) { c.MaxBodyBytes = int(v.Amount) },
	},
	{
		Spec: settings.Spec{
			Name: "max-calls", Type: settings.TypeCount, Default: "4096", Min: "1", Max: "1000000",
			Doc: "Upstream calls under way at this host.",
		},
		Set: func(c *Config, v settings.Value) { c.MaxCalls = int(v.Amount) },
	},
	{
		Spec: settings.Spec{
			Name: "max-hosts", Type: settings.TypeCount, Default: "12", Min: "1", Max: "10000",
			Doc: "Largest number of hosts that the fleet may have; all hosts must agree on it.",
		},
		Set: func(c *Config, v settings.Value) { c.MaxHosts = int(v.Amount) },
	},
}

func listenAddressKey(name, doc string, field func(*Config) *string) settings.Key[Config] {
	return settings.Key[Config]{
		Spec: settings.Spec{Name: name, Type: settings.TypeListenAddress, Required: true, Doc: doc},
		Set:  func(c *Config, v settings.Value) { *field(c) = v.Text },
	}
}

func remoteAddressKey(name, doc string, field func(*Config) *string) settings.Key[Config] {
	return settings.Key[Config]{
		Spec: settings.Spec{Name: name, Type: settings.TypeAddress, Required: true, Doc: doc},
		Set:  func(c *Config, v settings.Value) { *field(c) = v.Text },
	}
}
