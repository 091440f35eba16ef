package hostlist

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/platformclient"
)

// maxBodyBytes is the size limit of a request body.
const maxBodyBytes = 1 << 16

// change is an added or removed host that becomes visible after a delay.
type change struct {
	visibleAt time.Time
	entry     platformclient.HostEntry
	removed   bool
}

// Server serves the host list over HTTP.
type Server struct {
	*httpx.Server

	visibilityDelay time.Duration
	mu              sync.Mutex
	changes         []change
	hosts           map[id.Host]platformclient.HostEntry
}

// New binds the address and returns a server whose changes become visible after visibilityDelay.
func New(address string, visibilityDelay time.Duration) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{Server: web, visibilityDelay: visibilityDelay, hosts: make(map[id.Host]platformclient.HostEntry)}
	web.GET("/v1/hosts", s.handleList)
	web.PUT("/v1/hosts/:host", s.handleAnnounce)
	web.DELETE("/v1/hosts/:host", s.handleRemove)

	return s, nil
}

func (s *Server) handleList(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, platformclient.HostList{Hosts: s.visibleHosts(time.Now())})
}

// visibleHosts applies the changes that are visible at now and returns the hosts sorted by name.
func (s *Server) visibleHosts(now time.Time) []platformclient.HostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.changes[:0]
	for _, ch := range s.changes {
		switch {
		case ch.visibleAt.After(now):
			pending = append(pending, ch)
		case ch.removed:
			delete(s.hosts, ch.entry.Host)
		default:
			s.hosts[ch.entry.Host] = ch.entry
		}
	}
	s.changes = pending
	hosts := make([]platformclient.HostEntry, 0, len(s.hosts))
	for _, entry := range s.hosts {
		hosts = append(hosts, entry)
	}
	slices.SortFunc(hosts, func(a, b platformclient.HostEntry) int { return cmp.Compare(a.Host, b.Host) })

	return hosts
}

func (s *Server) handleAnnounce(_ context.Context, c *app.RequestContext) {
	var entry platformclient.HostEntry
	if err := httpx.DecodeJSON(c.Request.Body(), &entry); err != nil {
		httpx.WriteError(c, err)

		return
	}
	entry.Host = id.Host(c.Param("host"))
	s.addChange(change{entry: entry}, time.Now())
	httpx.WriteJSON(c, 200, entry)
}

func (s *Server) handleRemove(_ context.Context, c *app.RequestContext) {
	entry := platformclient.HostEntry{Host: id.Host(c.Param("host"))}
	s.addChange(change{entry: entry, removed: true}, time.Now())
	httpx.WriteJSON(c, 200, entry)
}

func (s *Server) addChange(ch change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch.visibleAt = now.Add(s.visibilityDelay)
	s.changes = append(s.changes, ch)
}
