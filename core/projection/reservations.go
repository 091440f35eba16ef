package projection

import (
	"maps"
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// Reservation gives one host an upstream on which to run suspect requests alone.
type Reservation struct {
	Upstream id.Upstream
	Service  id.Service
	Host     id.Host
	// Position is the position of the record that made the reservation, by which the reservation is ended.
	Position id.Position
}

// Reservations returns all reservations in no particular order.
func (c *Control) Reservations() []Reservation {
	reservations := make([]Reservation, 0, len(c.reservations))
	for _, r := range c.reservations {
		reservations = append(reservations, r)
	}

	return reservations
}

func (c *Control) applyReservation(pos id.Position, rec *record.Record, body *recordpb.Reservation) RejectReason {
	upstream, service := id.Upstream(body.GetUpstream()), id.Service(body.GetService())
	current, reserved := c.reservations[upstream]
	if ends := id.Position(body.GetEnds()); ends != 0 {
		if !reserved || current.Position != ends {
			return NoSuchReservation
		}
		delete(c.reservations, upstream)

		return Valid
	}
	count := 0
	for _, r := range c.reservations {
		if r.Service == service {
			count++
		}
	}
	if reserved || count >= int(body.GetMost()) {
		return AlreadyReserved
	}
	if c.reservations == nil {
		c.reservations = make(map[id.Upstream]Reservation)
	}
	c.reservations[upstream] = Reservation{Upstream: upstream, Service: service, Host: id.Host(rec.GetHost()), Position: pos}

	return Valid
}

func (c *Control) reservationSnapshots() []*recordpb.ReservationSnapshot {
	var snapshots []*recordpb.ReservationSnapshot
	for _, name := range slices.Sorted(maps.Keys(c.reservations)) {
		r := c.reservations[name]
		snapshots = append(snapshots, &recordpb.ReservationSnapshot{
			Upstream: string(r.Upstream), Service: string(r.Service), Host: string(r.Host), Position: uint64(r.Position),
		})
	}

	return snapshots
}

func (c *Control) restoreReservations(snapshots []*recordpb.ReservationSnapshot) {
	c.reservations = make(map[id.Upstream]Reservation, len(snapshots))
	for _, s := range snapshots {
		upstream := id.Upstream(s.GetUpstream())
		c.reservations[upstream] = Reservation{
			Upstream: upstream, Service: id.Service(s.GetService()),
			Host: id.Host(s.GetHost()), Position: id.Position(s.GetPosition()),
		}
	}
}
