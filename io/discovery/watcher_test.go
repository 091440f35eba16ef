package discovery

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// coldRecord is a call of coldStarts.
type coldRecord struct {
	upstream  id.Upstream
	remaining time.Duration
	policy    coldstart.Policy
	source    coldstart.Source
}

// coldStarts records its calls.
type coldStarts struct{ records []coldRecord }

func (c *coldStarts) RecordRegistration(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy) {
	c.records = append(c.records, coldRecord{instance.ID, remaining, policy, coldstart.FromRegistration})
}

func (c *coldStarts) RecordCold(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy, source coldstart.Source) {
	c.records = append(c.records, coldRecord{instance.ID, remaining, policy, source})
}

// newTestWatcher returns a watcher whose clock is at *now.
func newTestWatcher(now *time.Time) (*Watcher, *coldStarts) {
	recorder := &coldStarts{}

	return &Watcher{Logger: logr.Discard(), Now: func() time.Time { return *now }, ColdStarts: recorder}, recorder
}

func configurationRecord() platform.Record {
	return platform.Record{Key: platform.ConfigurationKey, Value: []byte(`{"version":1,"services":[{"name":"s","cold_start_s":3.0,"cold_per_s":24.0}]}`)}
}

func registrationRecord(t *testing.T, upstream string, coldRemainingMS int) platform.Record {
	t.Helper()
	value, err := json.Marshal(map[string]any{
		"service": "s", "address": "10.0.0.1:80", "zone": "zone-a", "slots": 1, "state": "ready", "cold_remaining_ms": coldRemainingMS,
	})
	require.NoError(t, err)

	return platform.Record{Key: upstream, Value: value}
}

func evacuationRecord(value string) platform.Record {
	return platform.Record{Key: platform.EncodeEvacuationKey("zone-a"), Value: []byte(value)}
}

func TestHostHasNoConfigurationBeforeItKnowsEvacuations(t *testing.T) {
	now := time.Now()
	w, _ := newTestWatcher(&now)
	w.applyOperatorRecord(configurationRecord())
	require.Nil(t, w.Config(), "the evacuations of the same listing are not in force yet")
	w.applyOperatorRecord(evacuationRecord("{}"))
	w.handleConfigurationListing(map[string]struct{}{platform.ConfigurationKey: {}, platform.EncodeEvacuationKey("zone-a"): {}})
	require.NotNil(t, w.Config())
	require.True(t, w.IsEvacuated("zone-a"))
}

// Guards against hosts that learn of an evacuation only after they count as connected to the store, and against a call more each
// 3 s at every host of a platform that evacuates nothing.
func TestConfigurationIsReadMoreOftenOnlyWhereDomainsAreEvacuated(t *testing.T) {
	for hasEvacuations, want := range map[bool]time.Duration{false: 3 * time.Second, true: 1500 * time.Millisecond} {
		store := standin.NewStore()
		t.Cleanup(store.Close)
		store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, configurationRecord().Value)
		w := &Watcher{
			Store: platform.NewStore(store.Address()), Logger: logr.Discard(), Now: time.Now, ColdStarts: &coldStarts{}, HasEvacuations: hasEvacuations,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { w.Run(ctx) })
		configuration := platform.Partition{Topic: platform.ConfigurationTopic}
		require.Eventually(t, func() bool {
			_, isRead := store.ReadWait(configuration)

			return isRead && w.Config() != nil
		}, 5*time.Second, 5*time.Millisecond)
		wait, _ := store.ReadWait(configuration)
		require.Equal(t, want, wait, "evacuations: %t", hasEvacuations)
		cancel()
		tasks.Wait()
	}
}

// Guards against a configuration that takes effect late at a host whose read of it waits on a connection that has gone silent.
func TestReadOfConfigurationIsReplacedWithinPeriodToApplyIt(t *testing.T) {
	for name, test := range map[string]struct {
		apply          time.Duration
		hasEvacuations bool
		want           time.Duration
	}{
		"no period is stated":       {want: 3 * time.Second},
		"short period":              {apply: 2 * time.Second, want: 600 * time.Millisecond},
		"shorter than any read":     {apply: time.Second, want: 500 * time.Millisecond},
		"long period":               {apply: 4 * time.Second, want: 2600 * time.Millisecond},
		"longer than the long poll": {apply: time.Minute, want: 3 * time.Second},
		"evacuations":               {apply: 3 * time.Second, hasEvacuations: true, want: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := &Watcher{ConfigurationApply: test.apply, HasEvacuations: test.hasEvacuations}
			require.Equal(t, test.want, w.longPoll())
		})
	}
}

func TestValueOfEvacuationIsNotInterpreted(t *testing.T) {
	now := time.Now()
	for _, value := range []string{"{}", "null", "false", "not JSON"} {
		w, _ := newTestWatcher(&now)
		w.applyOperatorRecord(evacuationRecord(value))
		require.True(t, w.IsEvacuated("zone-a"), value)
		w.applyOperatorRecord(evacuationRecord(""))
		require.False(t, w.IsEvacuated("zone-a"), value)
	}
}

func TestUpstreamsAreColdWhenEvacuationOfTheirDomainEnds(t *testing.T) {
	policy := coldstart.Policy{Duration: 3 * time.Second, RequestsPerSecond: 24}
	for name, end := range map[string]func(*Watcher){
		"removed": func(w *Watcher) { w.applyOperatorRecord(evacuationRecord("")) },
		"missing from a listing": func(w *Watcher) {
			w.handleConfigurationListing(map[string]struct{}{platform.ConfigurationKey: {}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w, recorder := newTestWatcher(&now)
			w.applyOperatorRecord(configurationRecord())
			w.handleConfigurationListing(map[string]struct{}{platform.ConfigurationKey: {}})
			w.applyUpstream(registrationRecord(t, "listed", 500))
			require.Equal(t, []coldRecord{{"listed", 500 * time.Millisecond, policy, coldstart.FromRegistration}}, recorder.records)
			w.applyOperatorRecord(evacuationRecord("{}"))
			recorder.records = nil
			end(w)
			require.Equal(t, []coldRecord{{"listed", 3 * time.Second, policy, coldstart.FromEvacuation}}, recorder.records)
			now = now.Add(time.Second)
			recorder.records = nil
			w.applyUpstream(registrationRecord(t, "registers later", 0))
			require.Contains(t, recorder.records, coldRecord{"registers later", 2 * time.Second, policy, coldstart.FromEvacuation})
		})
	}
}
