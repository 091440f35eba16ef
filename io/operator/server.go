package operator

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/settings"
	"cardamomward/io/caller"
	"cardamomward/io/httpx"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platform"
)

// Self is what the operators' interface needs of its host.
type Self interface {
	// Dump returns the host's whole state.
	Dump(now time.Time) Dump
	// Status returns all hosts as this one sees them.
	Status(now time.Time) Status
	// Drain makes the host leave.
	Drain()
}

// Server answers operators.
type Server struct {
	Control  *platform.Control
	Programs *platform.Journal[*projection.Programs]
	Locator  caller.Locator
	Self     Self
}

// Register adds the operators' routes to a web server.
func (s *Server) Register(web *httpx.Server) {
	web.GET("/v1/settings", s.settings)
	web.POST("/v1/settings", httpx.JSONHandler(s.publish))
	web.GET("/v1/settings/history", s.history)
	web.GET("/v1/keys", s.keys)
	web.POST("/v1/keys", httpx.JSONHandler(s.issue))
	web.DELETE("/v1/keys/:key", s.withdraw)
	web.GET("/v1/programs", s.programs)
	web.GET("/v1/programs/:program", s.program)
	web.POST("/v1/programs/:program/end", s.endProgram)
	web.GET("/v1/status", func(_ context.Context, c *app.RequestContext) { httpx.WriteJSON(c, 200, s.Self.Status(time.Now())) })
	web.GET("/v1/dump", func(_ context.Context, c *app.RequestContext) { httpx.WriteJSON(c, 200, s.Self.Dump(time.Now())) })
	web.POST("/v1/drain", s.drain)
	web.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
}

func (s *Server) drain(_ context.Context, c *app.RequestContext) {
	s.Self.Drain()
	httpx.WriteJSON(c, 200, struct{}{})
}

func (s *Server) settings(_ context.Context, c *app.RequestContext) {
	var current projection.SettingsVersion
	s.Control.Journal.View(func(state *projection.Control) { current = state.Settings() })
	httpx.WriteJSON(c, 200, Settings{Version: current.Version, Author: current.Author, Document: current.Document})
}

func (s *Server) publish(ctx context.Context, _ *app.RequestContext, req *PublishRequest) (*PublishResponse, error) {
	if _, findings := settings.Parse("settings", []byte(req.Document)); len(findings) > 0 {
		return nil, invalid(findings)
	}
	version, err := s.Control.Publish(ctx, req.Base, req.Document, req.Author)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(req.WaitMillis) * time.Millisecond
	inForce, waiting := s.await(ctx, wait, func(host HostStatus) bool { return host.SettingsVersion >= version })

	return &PublishResponse{Version: version, InForce: inForce, Waiting: waiting}, nil
}

func invalid(findings []settings.Finding) error {
	lines := make([]string, 0, len(findings))
	for _, finding := range findings {
		lines = append(lines, finding.String())
	}

	return apierror.New(apierror.SettingsInvalid, "the settings have %d findings:\n%s", len(findings), strings.Join(lines, "\n"))
}

// awaitPause is how often the hosts' versions are looked at.
const awaitPause = 50 * time.Millisecond

// reached says of a live host whether it has what is waited for.
type reached func(HostStatus) bool

// await waits until every live host has reached something, and returns those that have and those that have not.
func (s *Server) await(ctx context.Context, wait time.Duration, there reached) (done, waiting []id.Host) {
	deadline := time.Now().Add(wait)
	for {
		done, waiting = []id.Host{}, []id.Host{}
		for _, host := range s.Self.Status(time.Now()).Hosts {
			switch {
			case !host.Live:
			case there(host):
				done = append(done, host.Host)
			default:
				waiting = append(waiting, host.Host)
			}
		}
		if len(waiting) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return done, waiting
		}
		time.Sleep(awaitPause)
	}
}

// keyWait bounds the wait until all live hosts know of a key or its withdrawal.
const keyWait = 7 * time.Second

// awaitControl waits until every live host has folded the control stream beyond an offset, and returns those that have not.
func (s *Server) awaitControl(ctx context.Context, offset id.Offset) []id.Host {
	_, waiting := s.await(ctx, keyWait, func(host HostStatus) bool { return host.ControlNext > offset })

	return waiting
}

func (s *Server) history(_ context.Context, c *app.RequestContext) {
	history := History{Versions: []Version{}}
	s.Control.Journal.View(func(state *projection.Control) {
		for _, v := range state.SettingsHistory() {
			history.Versions = append(history.Versions, Version{
				Version: v.Version, Base: v.Base, Author: v.Author, Bytes: len(v.Document),
			})
		}
	})
	httpx.WriteJSON(c, 200, history)
}

func (s *Server) keys(_ context.Context, c *app.RequestContext) {
	keys := Keys{Keys: []Key{}}
	s.Control.Journal.View(func(state *projection.Control) {
		for _, key := range state.APIKeys() {
			keys.Keys = append(keys.Keys, Key{Key: key.ID, Workspace: key.Workspace, Withdrawn: key.Withdrawn})
		}
	})
	slices.SortFunc(keys.Keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	httpx.WriteJSON(c, 200, keys)
}

func (s *Server) issue(ctx context.Context, _ *app.RequestContext, req *IssueRequest) (*IssueResponse, error) {
	fleet, _ := s.Control.Fleet()
	if _, ok := fleet.Workspaces[req.Workspace]; !ok {
		return nil, apierror.New(apierror.NotFound, "there is no workspace %q; see workspace list", req.Workspace)
	}
	issued, err := s.Control.IssueKey(ctx, req.Workspace)
	if err != nil {
		return nil, err
	}
	waiting := s.awaitControl(ctx, issued.Offset)

	return &IssueResponse{Key: issued.Key, Bearer: issued.Bearer, Waiting: waiting}, nil
}

func (s *Server) withdraw(ctx context.Context, c *app.RequestContext) {
	offset, err := s.Control.WithdrawKey(ctx, id.APIKey(c.Param("key")))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	waiting := s.awaitControl(ctx, offset)
	httpx.WriteJSON(c, 200, Key{Key: id.APIKey(c.Param("key")), Withdrawn: true, Waiting: waiting})
}

// maxPrograms bounds the programs of one listing.
const maxPrograms = 1000

func (s *Server) programs(_ context.Context, c *app.RequestContext) {
	workspace := id.Workspace(c.Query("workspace"))
	programs := Programs{Programs: []caller.Program{}}
	s.Programs.View(func(state *projection.Programs) {
		state.ForEachProgram(func(p *projection.Program) bool {
			if workspace == "" || p.Workspace == workspace {
				programs.Programs = append(programs.Programs, Summary(state, p))
			}

			return len(programs.Programs) < maxPrograms
		})
	})
	slices.SortFunc(programs.Programs, func(a, b caller.Program) int { return cmp.Compare(a.ID, b.ID) })
	httpx.WriteJSON(c, 200, programs)
}

// Summary returns a program without its history.
func Summary(state *projection.Programs, p *projection.Program) caller.Program {
	return caller.Program{
		ID:           p.ID,
		Parent:       p.Parent,
		Workspace:    p.Workspace,
		Name:         p.Name,
		State:        string(p.State),
		EndReason:    p.EndReason,
		TurnCount:    id.Turn(len(p.Turns)),
		BudgetTokens: p.Budget,
		UsedTokens:   p.Used,
		Host:         state.Slot(id.ProgramSlot(p.ID)).Owner,
	}
}

func (s *Server) program(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	owner, err := s.Locator.OwnerOf(id.ProgramSlot(program))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	reply, err := owner.GetProgram(ctx, &peerpb.GetProgramRequest{
		Caller: &peerpb.Caller{Operator: true}, Program: string(program), History: c.Query("history") == "true",
	})
	answer(c, reply, err)
}

func (s *Server) endProgram(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	owner, err := s.Locator.OwnerOf(id.ProgramSlot(program))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	reply, err := owner.EndProgram(ctx, &peerpb.EndProgramRequest{
		Caller: &peerpb.Caller{Operator: true}, Program: string(program),
	})
	answer(c, reply, err)
}

func answer(c *app.RequestContext, reply *peerpb.ProgramReply, err error) {
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	httpx.WriteJSON(c, 200, caller.ProgramFromReply(reply))
}
