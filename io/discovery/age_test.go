package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// stableWindow is the time without disturbance after which a host counts as connected to the store.
	stableWindow = 3 * time.Second
	// minOutage is the duration of the shortest disturbance that lasts longer than any read, and outageStep what the next one lasts longer.
	minOutage  = 5800 * time.Millisecond
	outageStep = 330 * time.Millisecond
	// agePrecision is the interval at which a test checks which configuration a host has applied.
	agePrecision = 10 * time.Millisecond
)

// readFault is a way in which reads of the configuration go wrong.
type readFault struct {
	name string
	// inject returns once the fault has ended; one that lasts takes as long as the outage.
	inject func(s *standin.MemoryStore, outage time.Duration)
	// keepsPath is set if new connections work all the time, so that the host stays connected to the store.
	keepsPath bool
}

// respondWith makes the store respond to all requests with a status.
func respondWith(s *standin.MemoryStore, status int) {
	s.Intercept(func(w http.ResponseWriter, _ *http.Request, _ http.Handler) { w.WriteHeader(status) })
}

// alterResponses makes the store alter the body of each successful response.
func alterResponses(s *standin.MemoryStore, alter func(body []byte) []byte) {
	s.Intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		w.Write(alter(recorder.Body.Bytes())) //nolint:errcheck // the client has disconnected
	})
}

// throughout returns a fault that lasts for the outage.
func throughout(begin func(s *standin.MemoryStore)) func(s *standin.MemoryStore, outage time.Duration) {
	return func(s *standin.MemoryStore, outage time.Duration) {
		begin(s)
		time.Sleep(outage)
		s.Intercept(nil)
	}
}

// openIdleConns opens connections that other calls of the host have used at the same time, and leaves them idle.
func openIdleConns(store *platform.Store, count int) {
	var tasks sync.WaitGroup
	for range count {
		tasks.Go(func() {
			store.Read(context.Background(), platform.Partition{Topic: "other"}, 0, 50*time.Millisecond) //nolint:errcheck // only its connection matters
		})
	}
	tasks.Wait()
}

// cutFor cuts the link to the store for a time.
func cutFor(s *standin.MemoryStore, duration time.Duration) {
	s.Cut()
	time.Sleep(duration)
	s.Restore()
}

// expireOffset makes the store respond to the next read of the configuration that its offset has expired, and do then something else
// with the listing.
func expireOffset(s *standin.MemoryStore, serveListing func(w http.ResponseWriter, r *http.Request, next http.Handler)) {
	s.Intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if r.URL.Query().Get("topic") != platform.ConfigurationTopic {
			next.ServeHTTP(w, r)

			return
		}
		if r.URL.Path == "/log-read" {
			s.Intercept(serveListing)
			w.WriteHeader(http.StatusGone)

			return
		}
		next.ServeHTTP(w, r)
	})
}

// isListing reports whether a request lists the configuration.
func isListing(r *http.Request) bool {
	return r.URL.Path == "/log-newest" && r.URL.Query().Get("topic") == platform.ConfigurationTopic
}

// respondStale makes the store respond as it would have before the configuration changed.
func respondStale(s *standin.MemoryStore) { s.Intercept(serveStale()) }

// serveStale returns a function that responds as the store would have before the configuration changed.
func serveStale() func(w http.ResponseWriter, r *http.Request, next http.Handler) {
	old := standin.NewMemoryStore()
	old.Close()
	putConfiguration(old, 1)

	return func(w http.ResponseWriter, r *http.Request, _ http.Handler) { old.ServeHTTP(w, r) }
}

// readFaults are the ways in which a read of the configuration can go wrong.
var readFaults = []readFault{
	{"none", func(*standin.MemoryStore, time.Duration) {}, true},
	{"no response on open connections", func(s *standin.MemoryStore, _ time.Duration) { s.SilenceConns() }, true},
	{"no response on open connections, twice", func(s *standin.MemoryStore, _ time.Duration) {
		s.SilenceConns()
		time.Sleep(1700 * time.Millisecond)
		s.SilenceConns()
	}, false},
	{"no response on any connection", cutFor, false},
	{"no response on any connection for a moment", func(s *standin.MemoryStore, _ time.Duration) { cutFor(s, 50*time.Millisecond) }, false},
	{"no response to requests", throughout(func(s *standin.MemoryStore) {
		s.Intercept(func(_ http.ResponseWriter, r *http.Request, _ http.Handler) { <-r.Context().Done() })
	}), false},
	{"reset of open connections", func(s *standin.MemoryStore, _ time.Duration) { s.ResetConns() }, true},
	{"reset of all calls", throughout(func(s *standin.MemoryStore) {
		s.ResetConns()
		s.Intercept(func(http.ResponseWriter, *http.Request, http.Handler) { panic(http.ErrAbortHandler) })
	}), false},
	{"429", throughout(func(s *standin.MemoryStore) { respondWith(s, http.StatusTooManyRequests) }), false},
	{"503", throughout(func(s *standin.MemoryStore) { respondWith(s, http.StatusServiceUnavailable) }), false},
	{"503 for a moment", func(s *standin.MemoryStore, _ time.Duration) {
		throughout(func(s *standin.MemoryStore) { respondWith(s, http.StatusServiceUnavailable) })(s, 50*time.Millisecond)
	}, false},
	{"slow responses", throughout(func(s *standin.MemoryStore) {
		s.Intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			time.Sleep(900 * time.Millisecond)
			next.ServeHTTP(w, r)
		})
	}), false},
	{"responses slower than the time limit", throughout(func(s *standin.MemoryStore) {
		s.Intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			time.Sleep(1500 * time.Millisecond)
			next.ServeHTTP(w, r)
		})
	}), false},
	{"expired offset", func(s *standin.MemoryStore, _ time.Duration) { expireOffset(s, nil) }, true},
	{"expired offset, and no response to the listing", func(s *standin.MemoryStore, _ time.Duration) {
		expireOffset(s, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			if isListing(r) {
				s.Intercept(nil)
				s.SilenceConns()

				return
			}
			next.ServeHTTP(w, r)
		})
	}, true},
	{"expired offset, and an outage from the listing on", func(s *standin.MemoryStore, outage time.Duration) {
		begun := make(chan struct{})
		expireOffset(s, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			if isListing(r) {
				close(begun)
				s.Intercept(nil)
				s.Cut()

				return
			}
			next.ServeHTTP(w, r)
		})
		<-begun
		time.Sleep(outage)
		s.Restore()
	}, false},
	{"truncated responses", throughout(func(s *standin.MemoryStore) {
		alterResponses(s, func(body []byte) []byte { return body[:len(body)/2] })
	}), false},
	{"unreadable responses", throughout(func(s *standin.MemoryStore) {
		alterResponses(s, func(body []byte) []byte { return append(body, make([]byte, 64)...) })
	}), false},
	{"responses older than the last", throughout(respondStale), false},
	{"expired offset, and responses older than the last", func(s *standin.MemoryStore, outage time.Duration) {
		expireOffset(s, serveStale())
		time.Sleep(outage)
		s.Intercept(nil)
	}, false},
	{"several in a row", func(s *standin.MemoryStore, outage time.Duration) {
		throughout(func(s *standin.MemoryStore) { respondWith(s, http.StatusServiceUnavailable) })(s, outage/8)
		s.ResetConns()
		cutFor(s, outage/4)
		throughout(func(s *standin.MemoryStore) { respondWith(s, http.StatusTooManyRequests) })(s, outage/16)
		throughout(respondStale)(s, outage/20)
		expireOffset(s, nil)
		s.SilenceConns()
	}, false},
}

// ageRun is a run of a host that reads a configuration.
type ageRun struct {
	period time.Duration
	fault  readFault
	// faultAt is the start of the fault, and changeAt the change of the configuration, since the host has read the first one.
	faultAt, changeAt time.Duration
	outage            time.Duration
	// idleConns is the number of further connections of the host that are idle when the fault begins.
	idleConns int
	// isStarting lets the fault begin with the process.
	isStarting bool
}

// run returns the time from the change of the configuration, or the end of the fault if that is later, until the host has applied the
// change, and the time until then from which the host must have applied it.
func (r ageRun) run(t *testing.T) (age, bound time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemoryStore()
		client := platform.NewStore("192.0.2.1:80")
		client.Dial = store.Dial
		w := &Watcher{Store: client, Logger: logr.Discard(), Now: time.Now, ColdStarts: &coldStarts{}, ConfigurationApply: r.period}
		putConfiguration(store, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks, changes sync.WaitGroup
		startedAt := time.Now()
		if !r.isStarting {
			tasks.Go(func() { w.Run(ctx) })
			synctest.Wait()
			for w.Config() == nil {
				time.Sleep(time.Millisecond)
			}
			openIdleConns(client, r.idleConns)
			startedAt = time.Now()
		}
		var faultEndedAt, changedAt, appliedAt time.Time
		changes.Go(func() {
			time.Sleep(r.faultAt)
			r.fault.inject(store, r.outage)
			faultEndedAt = time.Now()
		})
		changes.Go(func() {
			time.Sleep(r.changeAt)
			putConfiguration(store, 2)
			changedAt = time.Now()
			for w.Config() == nil || w.Config().Version != 2 {
				time.Sleep(agePrecision)
				if time.Since(startedAt) > time.Minute {
					break
				}
			}
			appliedAt = time.Now()
		})
		if r.isStarting {
			tasks.Go(func() { w.Run(ctx) })
		}
		changes.Wait()
		cancel()
		tasks.Wait()
		// Connections that are being opened and responses that are delayed end with their timeouts.
		time.Sleep(5 * time.Second)
		store.Close()
		from, dueAt := changedAt, changedAt.Add(r.period)
		if !r.fault.keepsPath && faultEndedAt.After(from) {
			from = faultEndedAt
		}
		if connectedAt := faultEndedAt.Add(stableWindow); !r.fault.keepsPath && connectedAt.After(dueAt) {
			dueAt = connectedAt
		}
		age, bound = appliedAt.Sub(from), dueAt.Sub(from)
	})

	return age, bound
}

func putConfiguration(store *standin.MemoryStore, version int) {
	value, err := json.Marshal(map[string]any{"version": version})
	if err != nil {
		panic(err)
	}
	store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, value)
}

// Guards against hosts that apply a configuration later than config_apply_ms after its acknowledgement although they are connected to the
// store: a host counts as connected once nothing has disturbed it for stableWindow. The greatest age of each way is logged.
func TestConfigurationIsAppliedInTimeAtConnectedHosts(t *testing.T) {
	for _, fault := range readFaults {
		for _, period := range []time.Duration{2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v", fault.name, period), func(t *testing.T) {
				requireAppliedInTime(t, ageRun{period: period, fault: fault, idleConns: 12})
			})
		}
		t.Run(fault.name+", process that has just started", func(t *testing.T) {
			requireAppliedInTime(t, ageRun{period: 2 * time.Second, fault: fault, isStarting: true})
		})
	}
}

// requireAppliedInTime runs a host with the fault at several times of the read in progress, and with changes before, during and after it.
func requireAppliedInTime(t *testing.T, run ageRun) {
	t.Helper()
	var oldest ageRun
	var greatestAge time.Duration
	late := 0
	const phases = 5
	wait := (&Watcher{ConfigurationApply: run.period}).longPoll()
	for phase := range phases {
		for _, changeAfter := range []time.Duration{-300, 10, 500, 1700, 6000} {
			run.faultAt = time.Duration(phase) * wait / (phases - 1)
			run.outage = minOutage + time.Duration(phase)*outageStep
			run.changeAt = max(0, run.faultAt+changeAfter*time.Millisecond)
			age, bound := run.run(t)
			if age > greatestAge {
				oldest, greatestAge = run, age
			}
			if age > bound {
				late++
			}
		}
	}
	t.Logf("greatest age %v: fault at %v, outage of %v, change at %v; late %d", greatestAge, oldest.faultAt, oldest.outage, oldest.changeAt, late)
	require.Zero(t, late, "runs in which the configuration was applied late")
}

// Guards against fixes of the age that multiply the calls of a host to the store, which are priced.
func TestHostReadsConfigurationOnceEachLongPollInQuietTimes(t *testing.T) {
	for period, want := range map[time.Duration]float64{0: 0.33, 2 * time.Second: 1.67, 4 * time.Second: 0.38} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewMemoryStore()
			client := platform.NewStore("192.0.2.1:80")
			client.Dial = store.Dial
			w := &Watcher{Store: client, Logger: logr.Discard(), Now: time.Now, ColdStarts: &coldStarts{}, ConfigurationApply: period}
			var reads atomic.Int64
			store.Intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				if r.URL.Query().Get("topic") == platform.ConfigurationTopic {
					reads.Add(1)
				}
				next.ServeHTTP(w, r)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			w.Run(ctx)
			store.Close()
			require.InDelta(t, want, float64(reads.Load())/120, 0.03, "calls a second for a period of %v", period)
		})
	}
}
