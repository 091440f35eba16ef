package daemon

import (
	"bytes"
	"net"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"cardamomward/core/id"
)

// Config is a host's own settings.
type Config struct {
	Host          id.Host          `yaml:"host"`
	FailureDomain id.FailureDomain `yaml:"failure-domain"`
	// CallerAddress, OperatorAddress and PeerAddress are IP numbers and ports; port 0 takes a free one.
	CallerAddress   string `yaml:"caller-address"`
	OperatorAddress string `yaml:"operator-address"`
	PeerAddress     string `yaml:"peer-address"`
	// LogAddress and HostsAddress are the platform's services.
	LogAddress   string `yaml:"log-address"`
	HostsAddress string `yaml:"hosts-address"`
	// AppendLinger is how long an append waits for more records.
	AppendLinger time.Duration `yaml:"append-linger"`
	// WhereLifetime is how long callers may keep the answer to where.
	WhereLifetime time.Duration `yaml:"where-lifetime"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration `yaml:"drain-timeout"`
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes int `yaml:"max-body-bytes"`
	// MaxCalls bounds the upstream calls under way at this host.
	MaxCalls int `yaml:"max-calls"`
	// MaxHosts is the largest number of hosts that the fleet may have; all hosts must agree on it.
	MaxHosts int `yaml:"max-hosts"`
}

const (
	defaultAddress       = "127.0.0.1:0"
	defaultLinger        = 5 * time.Millisecond
	defaultWhereLifetime = 10 * time.Second
	defaultDrainTimeout  = 30 * time.Second
	defaultMaxBody       = 4 << 20
	defaultMaxCalls      = 4096
	defaultMaxHosts      = 12
)

var (
	errs = errorx.NewNamespace("daemon")

	// ErrSettings marks a host's settings with findings.
	ErrSettings = errs.NewType("settings")
)

// LoadConfig parses and checks a host's settings.
func LoadConfig(source []byte) (Config, error) {
	var config Config
	if err := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict()).Decode(&config); err != nil {
		return Config{}, ErrSettings.Wrap(err, "parse host settings")
	}
	if findings := config.check(); len(findings) > 0 {
		return Config{}, ErrSettings.New("host settings: %s", strings.Join(findings, "; "))
	}

	return config, nil
}

func (c *Config) check() []string {
	var findings []string
	if c.Host == "" {
		findings = append(findings, "host: a name is missing")
	}
	if c.FailureDomain == "" {
		findings = append(findings, "failure-domain: a name is missing")
	}
	addresses := []struct{ key, value string }{
		{"caller-address", c.CallerAddress},
		{"operator-address", c.OperatorAddress},
		{"peer-address", c.PeerAddress},
		{"log-address", c.LogAddress},
		{"hosts-address", c.HostsAddress},
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address.value)
		if err != nil || net.ParseIP(host) == nil {
			findings = append(findings, address.key+": an IP number and port is needed, such as 10.0.0.1:7000")
		}
	}

	return findings
}

func (c Config) withDefaults() Config {
	fallback(&c.CallerAddress, defaultAddress)
	fallback(&c.OperatorAddress, defaultAddress)
	fallback(&c.PeerAddress, defaultAddress)
	fallback(&c.AppendLinger, defaultLinger)
	fallback(&c.WhereLifetime, defaultWhereLifetime)
	fallback(&c.DrainTimeout, defaultDrainTimeout)
	fallback(&c.MaxBodyBytes, defaultMaxBody)
	fallback(&c.MaxCalls, defaultMaxCalls)
	fallback(&c.MaxHosts, defaultMaxHosts)

	return c
}

func fallback[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}
