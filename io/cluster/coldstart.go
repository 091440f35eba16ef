package cluster

import (
	"time"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/io/fleet/fleetpb"
)

// RecordRegistration records how long an upstream stays cold by its registration, which was read now.
func (c *Cluster) RecordRegistration(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy) {
	now := c.Now()
	c.limits.mu.Lock()
	c.limits.registrationCount++
	statement, began := c.limits.cold.RecordRegistration(now, instance, remaining, policy)
	c.limits.mu.Unlock()
	if began {
		c.logCold(statement)
	}
}

// RecordCold records that an upstream is cold for a time by what this host itself has learned.
func (c *Cluster) RecordCold(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy, source coldstart.Source) {
	if !policy.IsEnabled() {
		return
	}
	now := c.Now()
	statement := coldstart.Statement{
		Upstream: instance.ID, Incarnation: instance.Incarnation, Until: now.Add(remaining), Rate: policy.RequestsPerSecond, Source: source,
	}
	c.limits.mu.Lock()
	began := c.limits.cold.RecordOwn(now, statement)
	c.limits.mu.Unlock()
	if began {
		c.logCold(statement)
	}
}

// recordPeerCold records what a peer reports of a cold upstream.
func (c *Cluster) recordPeerCold(now time.Time, statement coldstart.Statement) {
	c.limits.mu.Lock()
	began := c.limits.cold.RecordReported(now, statement)
	c.limits.mu.Unlock()
	if began {
		c.logCold(statement)
	}
}

func (c *Cluster) logCold(statement coldstart.Statement) {
	c.Logger.Info("upstream-cold", "upstream", statement.Upstream, "incarnation", statement.Incarnation, "until", statement.Until,
		"source", statement.Source)
}

// ColdDelay reports whether an upstream is cold, and estimates the time until it admits a request.
func (c *Cluster) ColdDelay(instance *registry.Instance, policy coldstart.Policy) (isCold bool, delay time.Duration) {
	if !policy.IsEnabled() {
		return false, 0
	}
	now := c.Now()
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	if _, isCold = c.limits.cold.State(now, instance, policy); !isCold {
		return false, 0
	}
	if pacer, ok := c.limits.pacers[instance.ID]; ok {
		delay = max(0, pacer.exhaustedUntil.Sub(now))
	}

	return true, delay
}

func (c *Cluster) reportedCold(now time.Time, upstream id.Upstream) (coldstart.Statement, bool) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()

	return c.limits.cold.Reported(now, upstream)
}

// coldToGossip returns the cold upstreams for the next heartbeat.
func (c *Cluster) coldToGossip(now time.Time) []*fleetpb.ColdUpstream {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	var cold []*fleetpb.ColdUpstream
	for _, statement := range c.limits.cold.ToGossip(now) {
		cold = append(cold, encodeColdUpstream(now, statement))
	}

	return cold
}

func encodeColdUpstream(now time.Time, statement coldstart.Statement) *fleetpb.ColdUpstream {
	return &fleetpb.ColdUpstream{
		Upstream: string(statement.Upstream), Incarnation: statement.Incarnation, Rate: statement.Rate,
		RemainingMillis: statement.Until.Sub(now).Milliseconds(),
	}
}

func decodeColdUpstream(now time.Time, cold *fleetpb.ColdUpstream) coldstart.Statement {
	return coldstart.Statement{
		Upstream: id.Upstream(cold.GetUpstream()), Incarnation: cold.GetIncarnation(), Rate: cold.GetRate(), Source: coldstart.FromPeer,
		Until: now.Add(time.Duration(cold.GetRemainingMillis()) * time.Millisecond),
	}
}
