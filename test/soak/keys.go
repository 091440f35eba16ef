package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
)

// permanentKey is the API key that is never withdrawn.
const permanentKey = "key-permanent"

const (
	// limitedKey is the API key of the workspace whose rate is checked. Its callers send several times the rate.
	limitedKey        = "key-limited"
	requestsPerSecond = 10
	burst             = 10
)

// keyring holds the API keys of a run.
type keyring struct {
	mu      sync.Mutex
	version int64
	// all are all keys in the order in which they were added; the last one is valid.
	all []check.Key
}

func keyName(number int) string { return fmt.Sprintf("key-%d", number) }

// publishKeys publishes a configuration that adds the next key and withdraws the one before it.
func (r *run) publishKeys() {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	r.keys.version++
	added := check.Key{Name: keyName(len(r.keys.all)), AddedIn: r.keys.version}
	configuration := standin.Configuration{Version: r.keys.version, APIKeys: []string{permanentKey, added.Name}}
	configuration.Limited = &standin.LimitedWorkspace{APIKey: limitedKey, RequestsPerSecond: requestsPerSecond, Burst: burst}
	configuration.WriteToStore(r.store)
	acknowledgedAt := time.Now()
	added.AddedAt = acknowledgedAt
	if last := len(r.keys.all) - 1; last >= 0 {
		r.keys.all[last].WithdrawnIn, r.keys.all[last].WithdrawnAt = r.keys.version, acknowledgedAt
	}
	r.keys.all = append(r.keys.all, added)
	r.recorder.log("version %d of the configuration adds %s", r.keys.version, added.Name)
}

// recentKeys is the number of the latest keys that are tested most, and olderKeys that of the others that are tested: a key is withdrawn for
// long only after others have followed.
const (
	recentKeys = 3
	olderKeys  = 12
)

// pick returns the next key, the valid one, or one that was withdrawn.
func (k *keyring) pick(random *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	back := random.IntN(recentKeys)
	if random.IntN(2) == 0 {
		back = random.IntN(olderKeys)
	}

	return keyName(max(0, len(k.all)-back))
}
