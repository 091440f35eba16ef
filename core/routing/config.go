package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"cardamomward/core/id"
)

// Config is one version of the operator's configuration, indexed for lookups.
type Config struct {
	// Version is the version number in the configuration document.
	Version    int64
	Limits     Limits
	Routes     []*Route
	Services   map[id.Service]*Service
	Workspaces []*Workspace

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// NewConfig builds the indexes of a configuration.
func NewConfig(version int64, limits Limits, routes []*Route, services []*Service, workspaces []*Workspace) *Config {
	c := &Config{
		Version:    version,
		Limits:     limits,
		Routes:     routes,
		Workspaces: workspaces,
		Services:   make(map[id.Service]*Service, len(services)),
		byHost:     make(map[string][]*Route),
		byKey:      make(map[string]*Workspace),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, workspace := range workspaces {
		for _, key := range workspace.Keys {
			c.byKey[key] = workspace
		}
	}

	return c
}

// Match returns the route of an HTTP host name with the longest matching path prefix. The name is compared without case, and a
// port in it is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return nil, false
}

// Authenticate returns the workspace of an API key, and false if no workspace has the key.
func (c *Config) Authenticate(key string) (*Workspace, bool) {
	if key == "" {
		return nil, false
	}
	workspace, ok := c.byKey[key]

	return workspace, ok
}
