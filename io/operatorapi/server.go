package operatorapi

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
	"cardamomward/io/platformclient"
)

// Host provides the state of a host and shuts it down.
type Host interface {
	// DumpState returns a dump of the host's state.
	DumpState(now time.Time) HostDump
	// ClusterStatus returns the status of all hosts as this one sees them.
	ClusterStatus(now time.Time) ClusterStatus
	// StartDrain starts the graceful shutdown of the host.
	StartDrain()
}

// Server serves the operator API.
type Server struct {
	Control  *platformclient.ControlPlane
	Programs *platformclient.Journal[*projection.Programs]
	Locator  caller.Locator
	Host     Host
}

// Register adds the routes of the operator API to an HTTP server.
func (s *Server) Register(server *httpx.Server) {
	server.GET("/v1/settings", s.handleGetSettings)
	server.POST("/v1/settings", httpx.JSONHandler(s.handlePublishSettings))
	server.GET("/v1/settings/history", s.handleListSettingsVersions)
	server.GET("/v1/keys", s.handleListKeys)
	server.POST("/v1/keys", httpx.JSONHandler(s.handleIssueKey))
	server.DELETE("/v1/keys/:key", s.handleWithdrawKey)
	server.GET("/v1/programs", s.handleListPrograms)
	server.GET("/v1/programs/:program", s.handleGetProgram)
	server.POST("/v1/programs/:program/end", s.handleEndProgram)
	server.GET("/v1/status", func(_ context.Context, c *app.RequestContext) {
		httpx.WriteJSON(c, 200, s.Host.ClusterStatus(time.Now()))
	})
	server.GET("/v1/dump", func(_ context.Context, c *app.RequestContext) { httpx.WriteJSON(c, 200, s.Host.DumpState(time.Now())) })
	server.POST("/v1/drain", s.handleDrain)
	server.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
}

func (s *Server) handleDrain(_ context.Context, c *app.RequestContext) {
	s.Host.StartDrain()
	httpx.WriteJSON(c, 200, struct{}{})
}

func (s *Server) handleGetSettings(_ context.Context, c *app.RequestContext) {
	var current projection.SettingsVersion
	s.Control.Journal.View(func(state *projection.Control) { current = state.Settings() })
	httpx.WriteJSON(c, 200, SettingsDocument{Version: current.Version, Author: current.Author, Document: current.Document})
}

func (s *Server) handlePublishSettings(ctx context.Context, _ *app.RequestContext, req *PublishRequest) (*PublishResponse, error) {
	if _, findings := settings.Parse("settings", []byte(req.Document)); len(findings) > 0 {
		return nil, invalidSettingsError(findings)
	}
	version, err := s.Control.PublishSettings(ctx, req.BaseVersion, req.Document, req.Author)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(req.WaitMillis) * time.Millisecond
	applied, pending := s.awaitHosts(ctx, wait, func(host HostStatus) bool { return host.SettingsVersion >= version })

	return &PublishResponse{Version: version, AppliedHosts: applied, PendingHosts: pending}, nil
}

func invalidSettingsError(findings []settings.Finding) error {
	lines := make([]string, 0, len(findings))
	for _, finding := range findings {
		lines = append(lines, finding.String())
	}

	return apierror.New(apierror.SettingsInvalid, "the settings have %d findings:\n%s", len(findings), strings.Join(lines, "\n"))
}

// awaitPollInterval is the polling interval of the hosts' status.
const awaitPollInterval = 50 * time.Millisecond

// hostCondition reports whether a live host has reached the awaited state.
type hostCondition func(HostStatus) bool

// awaitHosts waits until every live host has reached a state, and returns the hosts that have and those that have not.
func (s *Server) awaitHosts(ctx context.Context, wait time.Duration, isReached hostCondition) (done, pending []id.Host) {
	deadline := time.Now().Add(wait)
	for {
		done, pending = []id.Host{}, []id.Host{}
		for _, host := range s.Host.ClusterStatus(time.Now()).Hosts {
			switch {
			case !host.Live:
			case isReached(host):
				done = append(done, host.Host)
			default:
				pending = append(pending, host.Host)
			}
		}
		if len(pending) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return done, pending
		}
		time.Sleep(awaitPollInterval)
	}
}

// keyPropagationTimeout bounds the wait until all live hosts have applied the issue or withdrawal of a key.
const keyPropagationTimeout = 7 * time.Second

// awaitControlOffset waits until every live host has applied the control stream up to an offset, and returns the hosts
// that have not.
func (s *Server) awaitControlOffset(ctx context.Context, offset id.Offset) []id.Host {
	_, pending := s.awaitHosts(ctx, keyPropagationTimeout, func(host HostStatus) bool { return host.ControlNextOffset > offset })

	return pending
}

func (s *Server) handleListSettingsVersions(_ context.Context, c *app.RequestContext) {
	history := SettingsHistory{Versions: []SettingsVersion{}}
	s.Control.Journal.View(func(state *projection.Control) {
		for _, v := range state.SettingsHistory() {
			history.Versions = append(history.Versions, SettingsVersion{
				Version: v.Version, BaseVersion: v.Base, Author: v.Author, DocumentBytes: len(v.Document),
			})
		}
	})
	httpx.WriteJSON(c, 200, history)
}

func (s *Server) handleListKeys(_ context.Context, c *app.RequestContext) {
	keys := APIKeyList{Keys: []APIKey{}}
	s.Control.Journal.View(func(state *projection.Control) {
		for _, key := range state.APIKeys() {
			keys.Keys = append(keys.Keys, APIKey{Key: key.ID, Workspace: key.Workspace, Withdrawn: key.Withdrawn})
		}
	})
	slices.SortFunc(keys.Keys, func(a, b APIKey) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	httpx.WriteJSON(c, 200, keys)
}

func (s *Server) handleIssueKey(ctx context.Context, _ *app.RequestContext, req *IssueKeyRequest) (*IssueKeyResponse, error) {
	fleet, _ := s.Control.Settings()
	if _, ok := fleet.Workspaces[req.Workspace]; !ok {
		return nil, apierror.New(apierror.NotFound, "there is no workspace %q; see workspace list", req.Workspace)
	}
	issued, err := s.Control.IssueKey(ctx, req.Workspace)
	if err != nil {
		return nil, err
	}
	pending := s.awaitControlOffset(ctx, issued.Offset)

	return &IssueKeyResponse{Key: issued.KeyID, BearerToken: issued.BearerToken, PendingHosts: pending}, nil
}

func (s *Server) handleWithdrawKey(ctx context.Context, c *app.RequestContext) {
	offset, err := s.Control.WithdrawKey(ctx, id.APIKey(c.Param("key")))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	pending := s.awaitControlOffset(ctx, offset)
	httpx.WriteJSON(c, 200, APIKey{Key: id.APIKey(c.Param("key")), Withdrawn: true, PendingHosts: pending})
}

// maxListedPrograms bounds the programs of one list.
const maxListedPrograms = 1000

func (s *Server) handleListPrograms(_ context.Context, c *app.RequestContext) {
	workspace := id.Workspace(c.Query("workspace"))
	programs := ProgramList{Programs: []caller.Program{}}
	s.Programs.View(func(state *projection.Programs) {
		state.ForEachProgram(func(p *projection.Program) bool {
			if workspace == "" || p.Workspace == workspace {
				programs.Programs = append(programs.Programs, SummarizeProgram(state, p))
			}

			return len(programs.Programs) < maxListedPrograms
		})
	})
	slices.SortFunc(programs.Programs, func(a, b caller.Program) int { return cmp.Compare(a.ID, b.ID) })
	httpx.WriteJSON(c, 200, programs)
}

// SummarizeProgram returns a program without its turns.
func SummarizeProgram(state *projection.Programs, p *projection.Program) caller.Program {
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

func (s *Server) handleGetProgram(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	owner, err := s.Locator.OwnerOf(id.ProgramSlot(program))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	reply, err := owner.GetProgram(ctx, &peerpb.GetProgramRequest{
		Caller: &peerpb.Caller{Operator: true}, Program: string(program), History: c.Query("history") == "true",
	})
	writeProgramReply(c, reply, err)
}

func (s *Server) handleEndProgram(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	owner, err := s.Locator.OwnerOf(id.ProgramSlot(program))
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	reply, err := owner.EndProgram(ctx, &peerpb.EndProgramRequest{
		Caller: &peerpb.Caller{Operator: true}, Program: string(program),
	})
	writeProgramReply(c, reply, err)
}

func writeProgramReply(c *app.RequestContext, reply *peerpb.ProgramReply, err error) {
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	httpx.WriteJSON(c, 200, caller.ProgramFromReply(reply))
}
