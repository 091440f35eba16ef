package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/fold"
	"cardamomward/core/id"
)

func capacityHosts(count int) []id.Host {
	hosts := make([]id.Host, count)
	for i := range hosts {
		hosts[i] = id.Host(fmt.Sprintf("host-%04d", i))
	}

	return hosts
}

// BenchmarkRendezvous shares slots out over hosts and measures how even the shares are.
func BenchmarkRendezvous(b *testing.B) {
	for _, hosts := range []int{12, 100, 830} {
		for _, slots := range []int{4096, 16_384, 65_536} {
			b.Run(fmt.Sprintf("hosts=%d/slots=%d", hosts, slots), func(b *testing.B) {
				names := capacityHosts(hosts)
				seeds := make([]uint64, hosts)
				for i, host := range names {
					seeds[i] = xxhash.Sum64String(string(host))
				}
				counts := make(map[id.Host]int, hosts)
				b.ReportAllocs()
				for b.Loop() {
					clear(counts)
					for slot := range slots {
						counts[pick(names, seeds, uint64(slot))]++
					}
				}
				most, least := 0, slots
				for _, host := range names {
					most, least = max(most, counts[host]), min(least, counts[host])
				}
				mean := float64(slots) / float64(hosts)
				b.ReportMetric(float64(most)/mean, "largest/mean")
				b.ReportMetric(float64(least)/mean, "least/mean")
			})
		}
	}
}

// BenchmarkDecide looks at all slots once, as a host does five times a second, while nothing has changed.
func BenchmarkDecide(b *testing.B) {
	for _, hosts := range []int{12, 830} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			names := capacityHosts(hosts)
			decider := &Decider{}
			view := View{
				Self: names[0], Live: names, Slots: &fold.Slots{},
				Silence: func(id.Host) time.Duration { return 0 },
				Busy:    func(id.Slot) bool { return false },
			}
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				decider.Decide(now, view)
			}
		})
	}
}
