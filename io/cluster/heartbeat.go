package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/crashcount"
	"cardamomward/core/eviction"
	"cardamomward/core/id"
	"cardamomward/core/streamorigin"
	"cardamomward/core/traffic"
	"cardamomward/io/fleet/fleetpb"
)

// maxPeerErrorScore bounds the effect of the errors that one peer reports.
const maxPeerErrorScore = 8

// What follows applies to clusters of more than largeClusterPeers peers. In smaller ones, each peer is heard at least every 1.9 s on
// average, on which the placement of requests depends.
const (
	// heartbeatBytesPerSecondInLarge bounds what a host that owns no slot sends of heartbeats, the headers of the datagrams and reports
	// of workspaces included: 28 KB/s are budgeted for the control traffic of a host.
	heartbeatBytesPerSecondInLarge = 28_000
	// minHeartbeatFanoutInLarge bounds from below the number of recipients that this leaves, so that a peer among 830 is heard every
	// 10 s on average, five times within its silence timeout.
	minHeartbeatFanoutInLarge = 8
	// datagramHeaderBytes is the size of the headers of a datagram, those of IPv4 and UDP.
	datagramHeaderBytes = 28
	// heartbeatsPerOwnerListInLarge replaces heartbeatsPerOwnerList once the owners have not changed for ownerListSpreadDuration. A host
	// then still receives about one list a second, since it receives as many heartbeats as it sends.
	heartbeatsPerOwnerListInLarge = 128
	ownerListSpreadDuration       = 10 * time.Second
	// minCompleteFanoutOfOwner bounds from below the random recipients of an owner's complete heartbeat, so that a peer among 830 hears the
	// owner's loads every 28 s on average; short heartbeats are heard as often as all were before.
	minCompleteFanoutOfOwner = 3
)

// heartbeatLoop sends heartbeats until ctx ends and evicts owners that have stopped sending theirs.
func (p *peerTable) heartbeatLoop(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.detectProcessPause(p.cluster.Now())
		p.evictSilentOwners(ctx)
		next := p.buildHeartbeats(p.cluster.Now())
		limits := p.buildLimits(p.cluster.Now())
		leaving := p.buildLeaving(p.cluster.Now())
		for i, target := range slices.Concat(next.targets, next.shortTargets) {
			data := next.complete
			if i >= len(next.targets) {
				data = next.short
			}
			conn.WriteTo(data, target) //nolint:errcheck // a lost heartbeat is followed by the next
			if limits != nil {
				conn.WriteTo(limits, target) //nolint:errcheck // the next heartbeat repeats them
			}
			if leaving != nil {
				conn.WriteTo(leaving, target) //nolint:errcheck // the next heartbeat repeats them
			}
			p.cluster.PeerTraffic(traffic.Heartbeat, target.String()).AddSent(len(data) + len(limits) + len(leaving))
		}
	}
}

// heartbeats are the encoded heartbeats of one interval: the complete one, and the short one of an owner in a large cluster, each with
// its recipients.
type heartbeats struct {
	complete, short       []byte
	targets, shortTargets []*net.UDPAddr
}

// buildLimits returns the encoded limits and cold starts of upstreams of which this host has lately learned, or nil. They are sent
// apart from the heartbeat, whose size is bounded.
func (p *peerTable) buildLimits(now time.Time) []byte {
	limits, cold := p.cluster.limitsToGossip(now), p.cluster.coldToGossip(now)
	if len(limits) == 0 && len(cold) == 0 {
		return nil
	}
	data, err := proto.Marshal(&fleetpb.Beat{Limits: limits, Cold: cold})
	if err != nil {
		p.cluster.Logger.Error(err, "beat-failed")

		return nil
	}

	return data
}

// buildHeartbeats returns the heartbeats of the next interval.
func (p *peerTable) buildHeartbeats(now time.Time) heartbeats {
	current := p.cluster.ownership.Load()
	crashes := p.cluster.crashesToGossip(now)
	isPartitioned := p.cluster.IsPartitionedFromUpstreams()
	var errorScores map[id.Upstream]float64
	if p.cluster.UpstreamErrors != nil {
		errorScores = p.cluster.UpstreamErrors()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	heartbeat := &fleetpb.Beat{
		Host: string(p.cluster.Settings.Name), Sequence: p.sequence, Draining: p.isDraining || !p.cluster.HasConfig(), Left: p.hasLeft,
		StoreAgeMillis: now.Sub(p.cluster.lastDirectResponse()).Milliseconds(), Generation: current.generation,
	}
	heartbeat.Loads = p.upstreamLoads(now, errorScores)
	heartbeat.Partitioned = isPartitioned
	for _, crash := range crashes {
		heartbeat.Crashes = append(heartbeat.Crashes, &fleetpb.Crash{Fingerprint: uint64(crash.Fingerprint), Process: crash.Process})
	}
	if p.isOwnerListDue(now, current.generation) {
		heartbeat.Owners = current.owners
	}
	heartbeat.Evicted = p.evictionsToGossip(now)
	heartbeat.Member = p.cluster.leaseExpiryNanos.Load() != 0
	heartbeat.ReadsShort = len(p.byHost) > largeClusterPeers
	short := p.shortHeartbeat(heartbeat)
	next := p.heartbeatTargets(now, heartbeat, proto.Size(short))
	p.cluster.workspaces.addTo(heartbeat, now, len(next.targets), len(p.byHost))
	var err error
	if next.complete, err = proto.Marshal(heartbeat); err == nil {
		next.short, err = proto.Marshal(short)
	}
	if err != nil {
		p.cluster.Logger.Error(err, "beat-failed")

		return heartbeats{}
	}
	p.sumRemoteRequests(now)
	if p.tracksWork {
		p.work.SumPeers(now, p.silenceTimeout())
	}

	return next
}

// shortHeartbeat returns a heartbeat without what is not needed to detect failures and to act on them.
func (p *peerTable) shortHeartbeat(complete *fleetpb.Beat) *fleetpb.Beat {
	return &fleetpb.Beat{
		Sender: hashSender(p.cluster.Settings.Name), Sequence: complete.Sequence, Draining: complete.Draining, Left: complete.Left,
		StoreAgeMillis: complete.StoreAgeMillis, Generation: complete.Generation, Crashes: complete.Crashes, Evicted: complete.Evicted,
		Member: complete.Member, Partitioned: complete.Partitioned,
	}
}

// hashSender returns the hash by which short heartbeats name their sender; two of 830 hosts have the same one with a probability of
// 2e-14.
func hashSender(host id.Host) uint64 { return xxhash.Sum64String(string(host)) }

// isOwnerListDue reports whether the next heartbeat contains the owners of all slots; the caller holds the lock.
func (p *peerTable) isOwnerListDue(now time.Time, generation int64) bool {
	if generation != p.gossipedGeneration {
		p.gossipedGeneration, p.generationChangedAt = generation, now
	}
	if len(p.byHost) > largeClusterPeers && now.Sub(p.generationChangedAt) >= ownerListSpreadDuration {
		return p.sequence%heartbeatsPerOwnerListInLarge == 0
	}

	return p.sequence%heartbeatsPerOwnerList == 0
}

// randomFanout returns the number of randomly selected recipients of a heartbeat of the given size, which leaves reportBytesPerSecond
// for reports.
func randomFanout(peers, heartbeatBytes, reportBytesPerSecond int) int {
	if peers <= largeClusterPeers {
		return min(peers, heartbeatFanout)
	}
	bytesPerHeartbeat := (heartbeatBytesPerSecondInLarge - reportBytesPerSecond) * int(heartbeatInterval/time.Millisecond) / 1000

	return min(heartbeatFanout, max(minHeartbeatFanoutInLarge, bytesPerHeartbeat/(heartbeatBytes+datagramHeaderBytes)))
}

// completeFanoutOfOwner returns how many of the recipients of an owner's heartbeat get the complete one in a large cluster, where the
// others get the short one; both have the given sizes. reportBytesPerSecond are left for reports.
func completeFanoutOfOwner(recipients, completeBytes, shortBytes, reportBytesPerSecond int) int {
	bytesPerHeartbeat := (heartbeatBytesPerSecondInLarge - reportBytesPerSecond) * int(heartbeatInterval/time.Millisecond) / 1000
	left := bytesPerHeartbeat - recipients*(shortBytes+datagramHeaderBytes)

	return min(heartbeatFanout, max(minCompleteFanoutOfOwner, left/max(1, completeBytes-shortBytes)))
}

// heartbeatTargets returns the recipients of the next heartbeat, which has no report yet; the caller holds the lock.
func (p *peerTable) heartbeatTargets(now time.Time, complete *fleetpb.Beat, shortBytes int) heartbeats {
	targets := make([]*peer, 0, len(p.byHost))
	for _, other := range p.byHost {
		targets = append(targets, other)
	}
	if len(targets) <= heartbeatFanout {
		return heartbeats{targets: addressesOfPeers(targets)}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	owners := p.cluster.ownership.Load().owners
	reportRate := p.cluster.workspaces.maxReportRate(len(targets))
	if !p.hasLeft && !slices.Contains(owners, p.selfEntry.PeerAddress) {
		return heartbeats{targets: addressesOfPeers(targets[:randomFanout(len(targets), proto.Size(complete), reportRate)])}
	}
	// The other hosts decide by the heartbeats of owners whether slots are free, so owners do not send fewer in large clusters.
	selected := slices.Clip(targets[:heartbeatFanout])
	// Owners receive every heartbeat of each other, for failure detection, and that of a host that has left at once,
	// since they acquire its slots.
	for _, other := range targets[heartbeatFanout:] {
		if slices.Contains(owners, other.PeerAddress) {
			selected = append(selected, other)
		}
	}
	isOwnerChange := len(complete.Owners) > 0 && now.Sub(p.generationChangedAt) < ownerListSpreadDuration
	if len(targets) <= largeClusterPeers || p.hasLeft || isOwnerChange {
		return heartbeats{targets: addressesOfPeers(selected)}
	}
	completeFanout := completeFanoutOfOwner(len(selected), proto.Size(complete), shortBytes, reportRate)
	next := heartbeats{targets: addressesOfPeers(selected[:completeFanout])}
	for _, other := range selected[completeFanout:] {
		if p.readsShortHeartbeats(now, other, slices.Contains(owners, other.PeerAddress)) {
			next.shortTargets = append(next.shortTargets, other.udpAddr)
		} else {
			next.targets = append(next.targets, other.udpAddr)
		}
	}

	return next
}

// readsShortHeartbeats reports whether a peer is known to understand short heartbeats. One that is silent may be replaced by a process of
// an earlier release; owners hear every heartbeat of each other. The caller holds the lock.
func (p *peerTable) readsShortHeartbeats(now time.Time, other *peer, isOwner bool) bool {
	limit := p.silenceTimeout()
	if isOwner {
		limit = eviction.SilenceTimeout
	}

	return other.readsShort && now.Sub(other.lastHeardAt) < limit
}

func addressesOfPeers(peers []*peer) []*net.UDPAddr {
	addresses := make([]*net.UDPAddr, 0, len(peers))
	for _, other := range peers {
		addresses = append(addresses, other.udpAddr)
	}

	return addresses
}

// sendDatagram sends a datagram to peers, which may not receive it.
func (p *peerTable) sendDatagram(data []byte, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return
	}
	for _, member := range members {
		if other := p.findMember(member); other != nil {
			p.conn.WriteTo(data, other.udpAddr) //nolint:errcheck // lost datagrams are tolerated
		}
	}
}

// receiveHeartbeats handles heartbeats until the connection is closed.
func (p *peerTable) receiveHeartbeats(conn net.PacketConn) {
	buf := make([]byte, maxHeartbeatBytes)
	for {
		n, sender, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.cluster.PeerTraffic(traffic.Heartbeat, sender.String()).AddReceived(n)
		var heartbeat fleetpb.Beat
		if err := proto.Unmarshal(buf[:n], &heartbeat); err != nil {
			p.cluster.Logger.Error(err, "beat-refused")

			continue
		}
		p.handleHeartbeat(p.cluster.Now(), &heartbeat)
	}
}

// handleUpstreamReports records what a peer has learned of upstreams from their responses.
func (p *peerTable) handleUpstreamReports(now time.Time, heartbeat *fleetpb.Beat) {
	for _, limit := range heartbeat.Limits {
		p.cluster.recordPeerLimit(decodeUpstreamLimit(now, limit))
	}
	for _, reported := range heartbeat.Leaving {
		p.cluster.recordPeerLeaving(now, reported)
	}
	for _, cold := range heartbeat.Cold {
		p.cluster.recordPeerCold(now, decodeColdUpstream(now, cold))
	}
}

// senderOf returns the peer that has sent a heartbeat, and false if there is none; the caller holds the lock.
func (p *peerTable) senderOf(heartbeat *fleetpb.Beat) (*peer, bool) {
	if heartbeat.Sender == 0 {
		sender, ok := p.byHost[id.Host(heartbeat.Host)]

		return sender, ok
	}
	if sender, ok := p.byHost[p.hostBySender[heartbeat.Sender]]; ok {
		return sender, true
	}
	p.hostBySender = make(map[uint64]id.Host, len(p.byHost))
	for host := range p.byHost {
		p.hostBySender[hashSender(host)] = host
	}
	sender, ok := p.byHost[p.hostBySender[heartbeat.Sender]]

	return sender, ok
}

// handleHeartbeat applies a heartbeat. One that arrives out of order does not change the sender's state, unless the
// sender was silent for so long that it may have restarted.
func (p *peerTable) handleHeartbeat(now time.Time, heartbeat *fleetpb.Beat) {
	for _, crash := range heartbeat.Crashes {
		p.cluster.addPeerCrash(now, crashcount.Crash{Fingerprint: id.Fingerprint(crash.Fingerprint), Process: crash.Process})
	}
	p.handleUpstreamReports(now, heartbeat)
	for _, origin := range heartbeat.Streams {
		p.cluster.storeStreamOrigin(streamorigin.Attempt(origin.Attempt), decodeStreamOrigin(origin))
	}
	p.cluster.handlePeerGeneration(heartbeat.Generation)
	if len(heartbeat.Owners) == len(p.cluster.slots) {
		p.cluster.adoptPeerOwnership(&ownership{generation: heartbeat.Generation, owners: heartbeat.Owners})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, ok := p.senderOf(heartbeat)
	if !ok || (heartbeat.Sequence <= sender.lastSequence && now.Sub(sender.lastHeardAt) < baseSilenceTimeout) {
		return
	}
	if heartbeat.Left && !sender.hasLeft {
		p.cluster.triggerRenewal()
	}
	p.recordRestart(now, sender, heartbeat)
	p.handleEvictions(now, heartbeat.Evicted)
	sender.isEvicted, sender.hasBeenMember = false, heartbeat.Member
	sender.lastHeardAt, sender.lastSequence, sender.isDraining, sender.hasLeft = now, heartbeat.Sequence, heartbeat.Draining, heartbeat.Left
	sender.storeRespondedAt = reportedTime(now, heartbeat.StoreAgeMillis)
	sender.isPartitioned = heartbeat.Partitioned
	if heartbeat.Sender != 0 {
		return
	}
	sender.readsShort, sender.loadsHeardAt = heartbeat.ReadsShort, now
	p.cluster.workspaces.recordReport(now, heartbeat)
	sender.runningRequests = make(map[id.Upstream]int, len(heartbeat.Loads))
	sender.upstreamErrors = nil
	if p.tracksWork {
		p.work.SetPeer(now, id.Host(heartbeat.Host), decodeLoads(heartbeat.Loads))
	}
	for _, load := range heartbeat.Loads {
		sender.runningRequests[id.Upstream(load.Upstream)] = int(max(0, load.Running))
		if score := min(load.Errors, maxPeerErrorScore); score > 0 {
			if sender.upstreamErrors == nil {
				sender.upstreamErrors = make(map[id.Upstream]float64)
			}
			sender.upstreamErrors[id.Upstream(load.Upstream)] = score
		}
		for _, part := range load.Parts {
			p.cachedParts.RecordRead(now, id.Upstream(load.Upstream), affinity.PromptPartHash(part))
		}
	}
}
