package cluster

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/io/discovery"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// relayingPeer relays calls to the store, or does not respond.
type relayingPeer struct {
	fleetpb.Slots

	store    *platform.Store
	isSilent *atomic.Bool
	calls    *atomic.Int64
}

func (p relayingPeer) Relay(ctx context.Context, req *fleetpb.RelayRequest) (*fleetpb.RelayReply, error) {
	p.calls.Add(1)
	if p.isSilent.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}
	response, err := p.store.RoundTripDirect(ctx, platform.StoreRequest{Method: req.Method, Target: req.Target, Body: req.Body})
	if err != nil {
		return &fleetpb.RelayReply{}, nil //nolint:nilerr // status zero tells the sender that there was no response
	}
	if p.isSilent.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return &fleetpb.RelayReply{Status: int32(response.Status), Body: response.Body}, nil
}

// noColdStarts records nothing.
type noColdStarts struct{}

func (noColdStarts) RecordRegistration(*registry.Instance, time.Duration, coldstart.Policy) {}

func (noColdStarts) RecordCold(*registry.Instance, time.Duration, coldstart.Policy, coldstart.Source) {
}

// stableWindow is the time without disturbance after which a host counts as connected to the store.
const stableWindow = 3 * time.Second

// storeLatency is the store's latency.
const storeLatency = 100 * time.Millisecond

// linkFault is a fault of the link between a host and the store.
type linkFault string

const (
	notResponding linkFault = "no response"
	refusing      linkFault = "refused"
	// refusingThenSilent also loses the open connections, without a reset, when it ends.
	refusingThenSilent linkFault = "refused, then silent connections"
)

// relayRun is a run of a host whose link to the store fails for a time, while peers relay its calls.
type relayRun struct {
	// period is the time in which a configuration must be applied.
	period time.Duration
	// outage is the duration of the fault, and silentFor the time before its end from which the peers stop to respond to this host.
	outage, silentFor time.Duration
	fault             linkFault
	// changeAfter is the time from the end of the outage to the change of the configuration; it may be negative.
	changeAfter time.Duration
}

// run returns the time from the change of the configuration, or the end of the outage if that is later, until the host has applied the
// change, and the time until then from which the host must have applied it.
func (r relayRun) run(t *testing.T) (age, bound time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, ownLink := standin.NewMemoryStore(), standin.NewMemoryStore()
		store.Intercept(func(w http.ResponseWriter, req *http.Request, next http.Handler) {
			time.Sleep(storeLatency)
			next.ServeHTTP(w, req)
		})
		serveStore := func(w http.ResponseWriter, req *http.Request, _ http.Handler) {
			time.Sleep(storeLatency)
			store.ServeHTTP(w, req)
		}
		ownLink.Intercept(serveStore)
		client, peersClient := platform.NewStore("192.0.2.1:80"), platform.NewStore("192.0.2.1:80")
		client.Dial, peersClient.Dial = ownLink.Dial, store.Dial
		w := &discovery.Watcher{Store: client, Logger: logr.Discard(), Now: time.Now, ColdStarts: noColdStarts{}, ConfigurationApply: r.period}
		c := New(Options{
			Settings: &platform.HostSettings{Name: "host-0", IP: "127.0.0.1", PeerPorts: [2]int{7780, 7780}, Store: platform.StoreSettings{Partitions: 1}},
			Store:    client, Logger: logr.Discard(), Now: time.Now, LastStoreResponse: w.LastStoreResponse, RecordStoreResponse: w.RecordStoreResponse,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		var isSilent atomic.Bool
		var relayed atomic.Int64
		for i := range 4 {
			address := fmt.Sprintf("10.0.0.%d:7780", i)
			c.peerClients[address] = relayingPeer{store: peersClient, isSilent: &isSilent, calls: &relayed}
			other := &peer{hostEntry: hostEntry{PeerAddress: address}}
			c.peers.byHost[id.Host(address)] = other
			tasks.Go(func() {
				for ctx.Err() == nil {
					c.peers.mu.Lock()
					other.lastHeardAt, other.storeRespondedAt = time.Now(), time.Now()
					c.peers.mu.Unlock()
					time.Sleep(heartbeatInterval)
				}
			})
		}
		putVersion := func(version int) {
			store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d}`, version))
		}
		putVersion(1)
		tasks.Go(func() { w.Run(ctx) })
		time.Sleep(2 * time.Second)
		require.NotNil(t, w.Config())
		var changes sync.WaitGroup
		var outageEndedAt, changedAt, appliedAt time.Time
		changes.Go(func() {
			if r.fault == notResponding {
				ownLink.Cut()
			} else {
				ownLink.Intercept(func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
					w.WriteHeader(http.StatusServiceUnavailable)
				})
			}
			time.Sleep(r.outage - r.silentFor)
			require.NotZero(t, relayed.Load(), "calls are relayed during the outage")
			isSilent.Store(r.silentFor > 0)
			time.Sleep(r.silentFor)
			if r.fault == notResponding {
				ownLink.Restore()
			} else {
				ownLink.Intercept(serveStore)
			}
			if r.fault == refusingThenSilent {
				ownLink.SilenceConns()
			}
			outageEndedAt = time.Now()
		})
		changes.Go(func() {
			time.Sleep(r.outage + r.changeAfter)
			putVersion(2)
			changedAt = time.Now()
			for w.Config().Version != 2 && time.Since(changedAt) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			appliedAt = time.Now()
		})
		changes.Wait()
		cancel()
		tasks.Wait()
		// Connections that are being opened end with their timeouts.
		time.Sleep(time.Second)
		ownLink.Close()
		store.Close()
		from, dueAt := changedAt, changedAt.Add(r.period)
		if outageEndedAt.After(from) {
			from = outageEndedAt
		}
		if connectedAt := outageEndedAt.Add(stableWindow); connectedAt.After(dueAt) {
			dueAt = connectedAt
		}
		age, bound = appliedAt.Sub(from), dueAt.Sub(from)
	})

	return age, bound
}

// Guards against a host that waits for peers that do not respond although its own link to the store works again, and therefore applies a
// configuration later than config_apply_ms after its acknowledgement although it is connected to the store.
func TestConfigurationIsAppliedInTimeOnceLinkToStoreWorksAgain(t *testing.T) {
	for _, fault := range []linkFault{notResponding, refusing, refusingThenSilent} {
		for _, silentFor := range []time.Duration{0, 10 * time.Millisecond, time.Second, 3 * time.Second} {
			for _, period := range []time.Duration{2 * time.Second, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s, peers silent for %v, %v", fault, silentFor, period), func(t *testing.T) {
					var greatestAge time.Duration
					var oldest relayRun
					late := 0
					for phase := range 5 {
						for _, changeAfter := range []time.Duration{-900, -5, 5} {
							run := relayRun{
								period: period, outage: 6*time.Second + time.Duration(phase)*370*time.Millisecond, silentFor: silentFor, fault: fault,
								changeAfter: changeAfter * time.Millisecond,
							}
							age, bound := run.run(t)
							if age > greatestAge {
								greatestAge, oldest = age, run
							}
							if age > bound {
								late++
							}
						}
					}
					t.Logf("greatest age %v: outage of %v, change after %v; late %d", greatestAge, oldest.outage, oldest.changeAfter, late)
					require.Zero(t, late, "runs in which the configuration was applied late")
				})
			}
		}
	}
}
