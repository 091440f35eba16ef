package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/crashcount"
	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
)

// beatLoop sends beats, to all peers or to some at a time.
func (p *peers) beatLoop(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.tick(p.fleet.Now())
		p.watch(ctx)
		data, targets := p.beat(p.fleet.Now())
		for _, target := range targets {
			conn.WriteTo(data, target) //nolint:errcheck // a lost beat is followed by the next
		}
	}
}

// beat returns the next beat and to whom it goes.
func (p *peers) beat(now time.Time) ([]byte, []*net.UDPAddr) {
	own := p.fleet.ownership.Load()
	crashes := p.fleet.takeCrashes(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	beat := &fleetpb.Beat{
		Host: string(p.fleet.Settings.Name), Sequence: p.sequence, Draining: p.draining || !p.fleet.HasConfig(), Left: p.left,
		StoreAgeMillis: now.Sub(p.fleet.storeDirect()).Milliseconds(), Generation: own.generation,
	}
	beat.Loads = p.loads(now)
	for _, crash := range crashes {
		beat.Crashes = append(beat.Crashes, &fleetpb.Crash{Fingerprint: uint64(crash.Fingerprint), Process: crash.Process})
	}
	if p.sequence%ownersEvery == 0 {
		beat.Owners = own.owners
	}
	beat.Evicted = p.evictions(now)
	beat.Member = p.fleet.leaseUntil.Load() != 0
	data, err := proto.Marshal(beat)
	if err != nil {
		p.fleet.Logger.Error(err, "beat-failed")

		return nil, nil
	}
	p.sumLoads(now)

	return data, p.targets()
}

// targets returns the peers that get the next beat; the caller holds the lock.
func (p *peers) targets() []*net.UDPAddr {
	targets := make([]*net.UDPAddr, 0, len(p.peers))
	for _, other := range p.peers {
		targets = append(targets, other.addr)
	}
	if len(targets) <= beatFanout {
		return targets
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:beatFanout]
	owners := p.fleet.ownership.Load().owners
	if !p.left && !slices.Contains(owners, p.self.Peer) {
		return targets
	}
	// Owners hear each other each beat, and hear of a host that has left at once, since they take its slots.
	for _, other := range p.peers {
		if slices.Contains(owners, other.Peer) && !slices.Contains(targets, other.addr) {
			targets = append(targets, other.addr)
		}
	}

	return targets
}

// receive takes beats until the connection is closed.
func (p *peers) receive(conn net.PacketConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var beat fleetpb.Beat
		if err := proto.Unmarshal(buf[:n], &beat); err != nil {
			p.fleet.Logger.Error(err, "beat-refused")

			continue
		}
		p.hear(p.fleet.Now(), &beat)
	}
}

func (p *peers) hear(now time.Time, beat *fleetpb.Beat) {
	for _, crash := range beat.Crashes {
		p.fleet.learnCrash(now, crashcount.Crash{Fingerprint: id.Fingerprint(crash.Fingerprint), Process: crash.Process})
	}
	p.fleet.noteGeneration(beat.Generation)
	if len(beat.Owners) == len(p.fleet.slots) {
		p.fleet.hearOwners(&ownership{generation: beat.Generation, owners: beat.Owners})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	from, ok := p.peers[id.Host(beat.Host)]
	if !ok || (beat.Sequence <= from.sequence && now.Sub(from.heard) < silence) {
		return
	}
	if beat.Left && !from.left {
		p.fleet.noteFreed()
	}
	p.hearEvictions(now, beat.Evicted)
	from.evicted, from.member = false, beat.Member
	from.heard, from.sequence, from.draining, from.left = now, beat.Sequence, beat.Draining, beat.Left
	from.storeSeen = now.Add(-time.Duration(beat.StoreAgeMillis) * time.Millisecond)
	from.loads = make(map[id.Upstream]int, len(beat.Loads))
	for _, load := range beat.Loads {
		from.loads[id.Upstream(load.Upstream)] = int(load.Running)
		for _, part := range load.Parts {
			p.parts.RecordRead(now, id.Upstream(load.Upstream), affinity.PromptPart(part))
		}
	}
}
