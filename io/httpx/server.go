package httpx

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"cardamomward/core/apierror"
	"cardamomward/core/memorybudget"
	"cardamomward/core/traffic"
)

const (
	// defaultReadTimeout bounds the time to read a request.
	defaultReadTimeout = 20 * time.Second
	// defaultIdleTimeout is the time limit of an idle connection.
	defaultIdleTimeout = 2 * time.Minute
)

func init() {
	hlog.SetOutput(io.Discard)
}

// Server is an HTTP server on one address.
type Server struct {
	*server.Hertz

	listener  *listener
	runResult chan error
}

// Options are the options of a server.
type Options struct {
	// Address is the IP address and port to listen on; port 0 selects a free port.
	Address string
	// MaxBodyBytes bounds a request body; values below 1 count as 1.
	MaxBodyBytes int
	// DrainTimeout bounds the time that Close waits for open connections to end.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request; zero means the library's default.
	MaxHeaderBytes int
	// ReadTimeout bounds the time to read a request; zero means 20 s.
	ReadTimeout time.Duration
	// IdleTimeout is the time limit of an idle connection; zero means 2 min.
	IdleTimeout time.Duration
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *traffic.Counter
	// Forwarding configures the server as a proxy: nothing is added to responses, no body is parsed, and a handler's
	// context is cancelled when the peer closes the connection.
	Forwarding bool
	// Memory bounds what is held for requests and responses; nil means no bound.
	Memory *MemoryBudget
	// BodyCopies is the number of copies of a body that Memory reserves before it is read, for the server's buffer and those of the handler; zero
	// means one.
	BodyCopies int
	// MemoryClass returns the class of a request by its path; nil means memorybudget.Callers for all.
	MemoryClass func(path string) memorybudget.Class
	// RefusalHeader returns fields of the response to a request whose body does not fit into Memory, by the request's header; nil means
	// none beside those of any such response.
	RefusalHeader func(request http.Header) http.Header
}

// NewServer listens on the address and returns a server that serves once Start is called.
func NewServer(opts Options) (*Server, error) {
	inner, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	listener := &listener{Listener: inner, counter: opts.Traffic, memory: opts.Memory, copies: int64(opts.BodyCopies), classOf: opts.MemoryClass, refusalHeader: opts.RefusalHeader}
	options := []config.Option{
		server.WithListener(listener),
		server.WithHostPorts(listener.Addr().String()),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithMaxRequestBodySize(max(opts.MaxBodyBytes, 1)),
		server.WithReadTimeout(cmp.Or(opts.ReadTimeout, defaultReadTimeout)),
		server.WithIdleTimeout(cmp.Or(opts.IdleTimeout, defaultIdleTimeout)),
		server.WithExitWaitTime(opts.DrainTimeout),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
	if opts.MaxHeaderBytes > 0 {
		options = append(options, server.WithMaxHeaderBytes(opts.MaxHeaderBytes))
	}
	if opts.Forwarding {
		options = append(options,
			server.WithSenseClientDisconnection(true),
			server.WithDisableDefaultDate(true),
			server.WithDisableDefaultContentType(true),
			server.WithDisablePreParseMultipartForm(true),
			server.WithHandleMethodNotAllowed(false),
			server.WithRedirectTrailingSlash(false),
		)
	}

	s := &Server{Hertz: server.New(options...), listener: listener, runResult: make(chan error, 1)}
	if opts.Memory != nil {
		s.Use(opts.Memory.trackHandler)
	}

	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// IsClosedByPeer reports whether the peer has closed its connection, or the connection is no longer tracked.
func (s *Server) IsClosedByPeer(remote net.Addr) bool {
	return s.listener.isClosedByPeer(remote.String())
}

// Start serves in the background.
func (s *Server) Start() {
	go func() { s.runResult <- s.Run() }()
}

// Close stops accepting connections, waits for open connections to end until ctx is done or DrainTimeout has passed, and
// closes the rest.
func (s *Server) Close(ctx context.Context) error {
	err := s.Shutdown(ctx)
	s.listener.closeAll()

	return err
}

// StopAccepting stops accepting connections and closes those for which isBusy returns false and on which no request has begun to
// arrive.
func (s *Server) StopAccepting(isBusy func(remote string) bool) {
	s.listener.Close() //nolint:errcheck // the server is about to end
	s.listener.closeIdle(isBusy)
}

// CloseStalledRequests closes the connections for which isBusy returns false and on which a request began to arrive before a time, and
// returns their number: a peer that sends a byte now and then would hold its connection for ever.
func (s *Server) CloseStalledRequests(before time.Time, isBusy func(remote string) bool) int {
	return s.listener.closeStalled(before, isBusy)
}

// Abort closes the listener and all connections at once.
func (s *Server) Abort() {
	s.listener.Close() //nolint:errcheck // the server is given up
	s.listener.closeAll()
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		WriteError(c, err)

		return
	}
	c.Data(status, "application/json", append(data, '\n'))
}

// WriteError writes err as an API error response, with a Retry-After header if the error has a retry delay.
func WriteError(c *app.RequestContext, err error) {
	apiErr := apierror.From(err)
	if apiErr.RetryAfter > 0 {
		seconds := (apiErr.RetryAfter + time.Second - 1) / time.Second
		c.Response.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteJSON(c, apiErr.HTTPStatus(), apiErr.Body())
}

// HandlerFunc handles a decoded request and returns the response to encode.
type HandlerFunc[Req, Resp any] func(ctx context.Context, c *app.RequestContext, req *Req) (Resp, error)

// JSONHandler returns a route handler that decodes the JSON body, calls handler and encodes its response.
func JSONHandler[Req, Resp any](handler HandlerFunc[Req, Resp]) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var req Req
		if err := DecodeJSON(c.Request.Body(), &req); err != nil {
			WriteError(c, err)

			return
		}
		resp, err := handler(ctx, c, &req)
		if err != nil {
			WriteError(c, err)

			return
		}
		WriteJSON(c, 200, resp)
	}
}

// DecodeJSON decodes a JSON body into req, or returns an invalid-request error; an empty body leaves req unchanged.
func DecodeJSON(body []byte, req any) error {
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, req); err != nil {
		return apierror.New(apierror.InvalidRequest, "the body is not valid JSON for this route: %v", err)
	}

	return nil
}
