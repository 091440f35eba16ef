package httpx

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"cardamomward/core/apierror"
)

const (
	// readTimeout bounds how long a request may take to arrive.
	readTimeout = 20 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
)

func init() {
	hlog.SetOutput(io.Discard)
}

// Server is an HTTP server on one address.
type Server struct {
	*server.Hertz

	listener *listener
	done     chan error
}

// Options tell how a server listens.
type Options struct {
	// Address is an IP number and port; port 0 takes a free one.
	Address string
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// DrainTimeout is how long Close waits for requests under way.
	DrainTimeout time.Duration
	// MaxHeader bounds the head of a request in bytes; zero means the library's bound.
	MaxHeader int
	// ReadTimeout bounds how long a request may take to arrive; zero means 20 s.
	ReadTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; zero means 2 min.
	IdleTimeout time.Duration
	// Forwarding is set for servers that pass requests on: nothing is added to responses, no body is parsed, and
	// a handler's context ends when the other end closes the connection.
	Forwarding bool
}

// NewServer binds the address and returns a server that does not accept requests yet.
func NewServer(opts Options) (*Server, error) {
	inner, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	listener := &listener{Listener: inner}
	options := []config.Option{
		server.WithListener(listener),
		server.WithHostPorts(listener.Addr().String()),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithMaxRequestBodySize(max(opts.MaxBody, 1)),
		server.WithReadTimeout(cmp.Or(opts.ReadTimeout, readTimeout)),
		server.WithIdleTimeout(cmp.Or(opts.IdleTimeout, idleTimeout)),
		server.WithExitWaitTime(opts.DrainTimeout),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
	if opts.MaxHeader > 0 {
		options = append(options, server.WithMaxHeaderBytes(opts.MaxHeader))
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

	return &Server{Hertz: server.New(options...), listener: listener, done: make(chan error, 1)}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Gone reports whether the other end of a connection has closed it, or is not known any more.
func (s *Server) Gone(remote net.Addr) bool { return s.listener.gone(remote.String()) }

// Start serves in the background.
func (s *Server) Start() {
	go func() { s.done <- s.Run() }()
}

// Close stops accepting, waits until ctx ends for connections to become idle and ends what remains.
func (s *Server) Close(ctx context.Context) error {
	err := s.Shutdown(ctx)
	s.listener.abort()

	return err
}

// StopAccepting takes no more connections and ends those on which nothing runs.
func (s *Server) StopAccepting(busy func(remote string) bool) {
	s.listener.Close() //nolint:errcheck // the server is about to end
	s.listener.closeIdle(busy)
}

// Abort ends the server and all its connections at once.
func (s *Server) Abort() {
	s.listener.Close() //nolint:errcheck // the server is given up
	s.listener.abort()
}

// JSON answers with a JSON body.
func JSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		Refuse(c, err)

		return
	}
	c.Data(status, "application/json", append(data, '\n'))
}

// Refuse answers with the documented error shape.
func Refuse(c *app.RequestContext, err error) {
	refused := apierror.From(err)
	if refused.RetryAfter > 0 {
		seconds := (refused.RetryAfter + time.Second - 1) / time.Second
		c.Response.Header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	JSON(c, refused.HTTPStatus(), refused.Body())
}

// Handler answers a typed request with a typed response.
type Handler[Req, Resp any] func(ctx context.Context, c *app.RequestContext, req *Req) (Resp, error)

// Handle decodes the JSON body, calls the handler and encodes its answer.
func Handle[Req, Resp any](handler Handler[Req, Resp]) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var req Req
		if err := Decode(c.Request.Body(), &req); err != nil {
			Refuse(c, err)

			return
		}
		resp, err := handler(ctx, c, &req)
		if err != nil {
			Refuse(c, err)

			return
		}
		JSON(c, 200, resp)
	}
}

// Decode parses a JSON body; an empty one leaves req as it is.
func Decode(body []byte, req any) error {
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, req); err != nil {
		return apierror.New(apierror.InvalidRequest, "the body is not valid JSON for this route: %v", err)
	}

	return nil
}
