package logserver

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/platformclient"
)

// maxEntryBytes is the size limit of an append.
const maxEntryBytes = 8 << 20

// Server serves the streams of a Store over HTTP.
type Server struct {
	Store Store

	*httpx.Server
}

// New binds the address and returns a server that Start runs.
func New(address string) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: address, MaxBodyBytes: maxEntryBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{Server: web}
	web.POST("/v1/streams/:stream", s.handleAppend)
	web.GET("/v1/streams/:stream", s.handleRead)
	web.PUT("/v1/faults", s.handleSetFaults)
	web.GET("/v1/counts", s.handleCounts)

	return s, nil
}

func (s *Server) handleAppend(_ context.Context, c *app.RequestContext) {
	if !s.applyRequestFaults(c) {
		return
	}
	data := append([]byte(nil), c.Request.Body()...)
	offset, ok := s.Store.Append(id.Stream(c.Param("stream")), data, time.Now())
	if !ok {
		httpx.WriteError(c, apierror.New(apierror.RateLimited, "too many appends per second").WithRetryAfter(time.Second))

		return
	}
	if s.Store.takeLostResponse() {
		c.GetConn().Close()

		return
	}
	httpx.WriteJSON(c, 200, platformclient.AppendResponse{Offset: offset})
}

func (s *Server) handleRead(ctx context.Context, c *app.RequestContext) {
	if !s.applyRequestFaults(c) {
		return
	}
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not an offset: %q", c.Query("from")))

		return
	}
	wait, _ := strconv.ParseInt(c.Query("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := s.Store.Read(id.Stream(c.Param("stream")), id.Offset(from), time.Now())
		if len(page.Entries) > 0 {
			httpx.WriteJSON(c, 200, page)

			return
		}
		select {
		case <-changed:
		case <-timer.C:
			httpx.WriteJSON(c, 200, page)

			return
		case <-ctx.Done():
			return
		}
	}
}

// applyRequestFaults applies the faults that affect every request and reports whether to process the request.
func (s *Server) applyRequestFaults(c *app.RequestContext) bool {
	faults := s.Store.Faults()
	if faults.ResponseDelayMillis > 0 {
		time.Sleep(time.Duration(faults.ResponseDelayMillis) * time.Millisecond)
	}
	if faults.Down {
		httpx.WriteError(c, apierror.New(apierror.LogUnavailable, "the log is down").WithRetryAfter(time.Second))

		return false
	}

	return true
}

func (s *Server) handleSetFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := httpx.DecodeJSON(c.Request.Body(), &faults); err != nil {
		httpx.WriteError(c, err)

		return
	}
	s.Store.SetFaults(faults)
	httpx.WriteJSON(c, 200, faults)
}

// CountsResponse contains the totals of accepted appends and bytes.
type CountsResponse struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
}

func (s *Server) handleCounts(_ context.Context, c *app.RequestContext) {
	appends, bytes := s.Store.AppendCounts()
	httpx.WriteJSON(c, 200, CountsResponse{Appends: appends, Bytes: bytes})
}
