package slotassignment

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

func capacityHosts(count int) []id.Host {
	hosts := make([]id.Host, count)
	for i := range hosts {
		hosts[i] = id.Host(fmt.Sprintf("host-%04d", i))
	}

	return hosts
}

// BenchmarkRendezvous assigns slots to hosts and measures how evenly they are spread.
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
						counts[highestScoringHost(names, seeds, uint64(slot))]++
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

// BenchmarkPlan plans for all slots while nothing changes, which a host does five times a second.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{12, 830} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			names := capacityHosts(hosts)
			planner := &Planner{}
			view := ClusterView{
				Self: names[0], LiveHosts: names, Slots: &projection.Slots{},
				SilenceOf:       func(id.Host) time.Duration { return 0 },
				HasRunningCalls: func(id.Slot) bool { return false },
			}
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(now, view)
			}
		})
	}
}

// assignBounded assigns slots by rendezvous hashing with a cap on the slots of each host: slack times the mean.
func assignBounded(hosts []id.Host, slots int, slack float64) []id.Host {
	maxSlotsPerHost := int(math.Ceil(slack * float64(slots) / float64(len(hosts))))
	seeds := make([]uint64, len(hosts))
	for i, host := range hosts {
		seeds[i] = xxhash.Sum64String(string(host))
	}
	load := make([]int, len(hosts))
	owners := make([]id.Host, slots)
	var buf [16]byte
	for slot := range owners {
		best, bestScore := -1, uint64(0)
		for i := range hosts {
			if load[i] >= maxSlotsPerHost {
				continue
			}
			binary.LittleEndian.PutUint64(buf[:8], seeds[i])
			binary.LittleEndian.PutUint64(buf[8:], uint64(slot))
			if score := xxhash.Sum64(buf[:]); best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		owners[slot] = hosts[best]
		load[best]++
	}

	return owners
}

// BenchmarkBoundedRendezvous measures how evenly slots are spread under a cap, and how many move when a host leaves.
func BenchmarkBoundedRendezvous(b *testing.B) {
	for _, hosts := range []int{12, 830} {
		for _, slots := range []int{4096, 16_384} {
			for _, slack := range []float64{1.1, 1.25, 4} {
				b.Run(fmt.Sprintf("hosts=%d/slots=%d/cap=%g", hosts, slots, slack), func(b *testing.B) {
					names := capacityHosts(hosts)
					var owners []id.Host
					for b.Loop() {
						owners = assignBounded(names, slots, slack)
					}
					counts := make(map[id.Host]int, hosts)
					for _, owner := range owners {
						counts[owner]++
					}
					most, least := 0, slots
					for _, host := range names {
						most, least = max(most, counts[host]), min(least, counts[host])
					}
					const removedHost = 5
					moved := 0
					for slot, owner := range assignBounded(slices.Delete(slices.Clone(names), removedHost, removedHost+1), slots, slack) {
						if owner != owners[slot] {
							moved++
						}
					}
					mean := float64(slots) / float64(hosts)
					b.ReportMetric(float64(most)/mean, "largest/mean")
					b.ReportMetric(float64(least)/mean, "least/mean")
					b.ReportMetric(float64(moved)/float64(counts[names[removedHost]]), "moved/least-moves")
				})
			}
		}
	}
}
