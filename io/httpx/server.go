package httpx

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/go-logr/logr"

	"cardamomward/core/apierror"
	corehttp1 "cardamomward/core/http1"
	"cardamomward/core/memorybudget"
	"cardamomward/core/traffic"
)

const (
	// defaultReadTimeout bounds the time to read a request.
	defaultReadTimeout = 20 * time.Second
	// defaultHeaderBytes bounds the head of a request.
	defaultHeaderBytes = 64 << 10
	// defaultIdleTimeout is the time limit of an idle connection.
	defaultIdleTimeout = 2 * time.Minute
)

func init() {
	hlog.SetOutput(io.Discard)
}

// Server is an HTTP server on one address.
type Server struct {
	*server.Hertz

	listener *listener
	// ended gets the result of the server once it has ended.
	ended chan error
}

// Options are the options of a server.
type Options struct {
	// Address is the IP address and port to listen on; port 0 selects a free port.
	Address string
	// Listen opens the listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// MaxBodyBytes bounds a request body; values below 1 count as 1.
	MaxBodyBytes int
	// DrainTimeout bounds the time that Close waits for open connections to end.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request; zero means 64 KB.
	MaxHeaderBytes int
	// RequestLimits returns limits that may change, in place of MaxBodyBytes and MaxHeaderBytes.
	RequestLimits func() RequestLimits
	// Intake bounds the requests of all servers of a process; nil means 64 MB for this one.
	Intake *Intake
	// MaxConns bounds the open connections; zero means no bound.
	MaxConns int
	// Logger logs refused requests and failures to accept connections.
	Logger logr.Logger
	// ReadTimeout bounds the time to read a request; zero means 20 s.
	ReadTimeout time.Duration
	// IdleTimeout is the time limit of an idle connection; zero means 2 min.
	IdleTimeout time.Duration
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *traffic.Counter
	// Forwarding configures the server as a proxy: nothing is added to responses, no body is parsed, and a handler's
	// context is cancelled when the peer closes the connection.
	Forwarding bool
	// Memory bounds what is held for requests and responses; nil means no bound. With ResponsesOnly, it does not count requests.
	Memory        *MemoryBudget
	ResponsesOnly bool
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
	listen := opts.Listen
	if listen == nil {
		listen = net.Listen
	}
	inner, err := listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: opts.newListener(inner), ended: make(chan error, 1)}
	transport := &transport{listener: s.listener, sensesClose: opts.Forwarding}
	options := []config.Option{
		server.WithHostPorts(inner.Addr().String()),
		server.WithTransport(func(*config.Options) network.Transporter { return transport }),
		server.WithDisablePrintRoute(true),
		server.WithHandleMethodNotAllowed(!opts.Forwarding),
		server.WithExitWaitTime(opts.DrainTimeout),
	}
	if opts.Forwarding {
		options = append(options, server.WithRedirectTrailingSlash(false))
	}
	s.Hertz = server.New(options...)
	transport.protocol = http1.NewServer()
	transport.protocol.Core = s.Hertz
	// The transport bounds requests and waits for them; without an idle timeout the library returns after each request.
	transport.protocol.Option = http1.Option{
		NoDefaultServerHeader: true, NoDefaultDate: opts.Forwarding, NoDefaultContentType: opts.Forwarding, DisablePreParseMultipartForm: true,
	}

	return s, nil
}

// newListener returns the listener of a server with the options' limits.
func (o *Options) newListener(inner net.Listener) *listener {
	l := &listener{
		Listener: inner, counter: o.Traffic, intake: o.Intake, limits: o.RequestLimits, memory: o.Memory, responsesOnly: o.ResponsesOnly, copies: int64(o.BodyCopies),
		classOf: o.MemoryClass, refusalHeader: o.RefusalHeader, logger: o.Logger,
		readTimeout: cmp.Or(o.ReadTimeout, defaultReadTimeout), idleTimeout: cmp.Or(o.IdleTimeout, defaultIdleTimeout),
	}
	if l.intake == nil {
		l.intake = NewIntake(defaultIntakeBytes, time.Now)
	}
	l.port = l.intake.addPort(o.MaxConns)
	if l.limits == nil {
		limits := RequestLimits{Limits: corehttp1.Limits{HeadBytes: cmp.Or(o.MaxHeaderBytes, defaultHeaderBytes), BodyBytes: int64(max(o.MaxBodyBytes, 1))}}
		l.limits = func() RequestLimits { return limits }
	}

	return l
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// IsClosedByPeer reports whether the peer has closed its connection, or the connection is no longer tracked.
func (s *Server) IsClosedByPeer(remote net.Addr) bool {
	return s.listener.isClosedByPeer(remote.String())
}

// Start serves in the background.
func (s *Server) Start() {
	go func() { s.ended <- s.Run() }()
}

// Ended returns a channel that gets one value once the server does not accept connections any more.
func (s *Server) Ended() <-chan error { return s.ended }

// AwaitEnd waits until the server does not accept connections any more, which is an error unless ctx ends first: clients would not reach
// the process at this address, while it runs.
func (s *Server) AwaitEnd(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.ended:
		return errors.Join(fmt.Errorf("the server at %s has ended", s.Address()), err)
	}
}

// Close stops accepting connections, waits for open connections to end until ctx is done or DrainTimeout has passed, and
// closes the rest.
func (s *Server) Close(ctx context.Context) error {
	err := s.Shutdown(ctx)
	s.listener.closeAll()

	return err
}

// StopAccepting stops accepting connections and closes those without a response in progress on which no request has begun to arrive.
func (s *Server) StopAccepting() {
	s.listener.Close() //nolint:errcheck // the server is about to end
	s.listener.closeIdle()
}

// HasRequests reports whether a request is in progress, from its first byte until its response is written.
func (s *Server) HasRequests() bool { return s.listener.hasRequests() }

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
