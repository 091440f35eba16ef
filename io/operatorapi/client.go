package operatorapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"cardamomward/core/id"
	"cardamomward/io/caller"
	"cardamomward/io/httpx"
)

// Client is an HTTP client of a host's operator API.
type Client struct {
	// Address is the IP address and port of the host's operator API.
	Address string
	// HTTPClient sends the requests; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// GetSettings returns the settings document in force.
func (c *Client) GetSettings(ctx context.Context) (SettingsDocument, error) {
	return get[SettingsDocument](ctx, c, "/v1/settings")
}

// PublishSettings replaces the settings document.
func (c *Client) PublishSettings(ctx context.Context, req PublishRequest) (PublishResponse, error) {
	return send[PublishResponse](ctx, c, http.MethodPost, "/v1/settings", req)
}

// ListSettingsVersions lists the latest versions of the settings, oldest first.
func (c *Client) ListSettingsVersions(ctx context.Context) (SettingsHistory, error) {
	return get[SettingsHistory](ctx, c, "/v1/settings/history")
}

// ListKeys lists the issued API keys.
func (c *Client) ListKeys(ctx context.Context) (APIKeyList, error) {
	return get[APIKeyList](ctx, c, "/v1/keys")
}

// IssueKey issues an API key for a workspace.
func (c *Client) IssueKey(ctx context.Context, workspace id.Workspace) (IssueKeyResponse, error) {
	return send[IssueKeyResponse](ctx, c, http.MethodPost, "/v1/keys", IssueKeyRequest{Workspace: workspace})
}

// WithdrawKey withdraws an API key permanently.
func (c *Client) WithdrawKey(ctx context.Context, key id.APIKey) (APIKey, error) {
	return send[APIKey](ctx, c, http.MethodDelete, "/v1/keys/"+url.PathEscape(string(key)), nil)
}

// ListPrograms lists the programs of a workspace, or of all workspaces if it is empty.
func (c *Client) ListPrograms(ctx context.Context, workspace id.Workspace) (ProgramList, error) {
	return get[ProgramList](ctx, c, "/v1/programs?workspace="+url.QueryEscape(string(workspace)))
}

// GetProgram returns a program, with its turns if history is set.
func (c *Client) GetProgram(ctx context.Context, program id.Program, history bool) (caller.Program, error) {
	return get[caller.Program](ctx, c, "/v1/programs/"+url.PathEscape(string(program))+"?history="+strconv.FormatBool(history))
}

// EndProgram ends a program.
func (c *Client) EndProgram(ctx context.Context, program id.Program) (caller.Program, error) {
	return send[caller.Program](ctx, c, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/end", nil)
}

// GetClusterStatus returns the status of all hosts as this one sees them.
func (c *Client) GetClusterStatus(ctx context.Context) (ClusterStatus, error) {
	return get[ClusterStatus](ctx, c, "/v1/status")
}

// GetHostDump returns a dump of the host's state.
func (c *Client) GetHostDump(ctx context.Context) (HostDump, error) {
	return get[HostDump](ctx, c, "/v1/dump")
}

// DrainHost starts the graceful shutdown of the host.
func (c *Client) DrainHost(ctx context.Context) error {
	_, err := send[struct{}](ctx, c, http.MethodPost, "/v1/drain", nil)

	return err
}

func get[Resp any](ctx context.Context, c *Client, path string) (Resp, error) {
	return send[Resp](ctx, c, http.MethodGet, path, nil)
}

func send[Resp any](ctx context.Context, c *Client, method, path string, req any) (Resp, error) {
	var resp Resp
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	err := httpx.SendJSON(ctx, client, method, "http://"+c.Address+path, req, &resp)

	return resp, err
}
