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

// Client speaks to a host's operator address.
type Client struct {
	// Address is the host's IP number and port for operators.
	Address string
	// HTTPClient sends the requests; nil stands for a default client.
	HTTPClient *http.Client
}

// GetSettings returns the document in force.
func (c *Client) GetSettings(ctx context.Context) (SettingsDocument, error) {
	return get[SettingsDocument](ctx, c, "/v1/settings")
}

// PublishSettings replaces the settings.
func (c *Client) PublishSettings(ctx context.Context, req PublishRequest) (PublishResponse, error) {
	return send[PublishResponse](ctx, c, http.MethodPost, "/v1/settings", req)
}

// ListSettingsVersions lists the latest versions of the settings.
func (c *Client) ListSettingsVersions(ctx context.Context) (SettingsHistory, error) {
	return get[SettingsHistory](ctx, c, "/v1/settings/history")
}

// ListKeys lists issued keys.
func (c *Client) ListKeys(ctx context.Context) (APIKeyList, error) {
	return get[APIKeyList](ctx, c, "/v1/keys")
}

// IssueKey issues a key for a workspace.
func (c *Client) IssueKey(ctx context.Context, workspace id.Workspace) (IssueKeyResponse, error) {
	return send[IssueKeyResponse](ctx, c, http.MethodPost, "/v1/keys", IssueKeyRequest{Workspace: workspace})
}

// WithdrawKey withdraws a key for good.
func (c *Client) WithdrawKey(ctx context.Context, key id.APIKey) (APIKey, error) {
	return send[APIKey](ctx, c, http.MethodDelete, "/v1/keys/"+url.PathEscape(string(key)), nil)
}

// ListPrograms lists programs, those of one workspace if it is named.
func (c *Client) ListPrograms(ctx context.Context, workspace id.Workspace) (ProgramList, error) {
	return get[ProgramList](ctx, c, "/v1/programs?workspace="+url.QueryEscape(string(workspace)))
}

// GetProgram returns a program with or without its history.
func (c *Client) GetProgram(ctx context.Context, program id.Program, history bool) (caller.Program, error) {
	return get[caller.Program](ctx, c, "/v1/programs/"+url.PathEscape(string(program))+"?history="+strconv.FormatBool(history))
}

// EndProgram ends a program.
func (c *Client) EndProgram(ctx context.Context, program id.Program) (caller.Program, error) {
	return send[caller.Program](ctx, c, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/end", nil)
}

// GetClusterStatus says which host has which settings version in force.
func (c *Client) GetClusterStatus(ctx context.Context) (ClusterStatus, error) {
	return get[ClusterStatus](ctx, c, "/v1/status")
}

// GetHostDump returns the host's whole state.
func (c *Client) GetHostDump(ctx context.Context) (HostDump, error) {
	return get[HostDump](ctx, c, "/v1/dump")
}

// DrainHost makes the host leave.
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
	err := httpx.Do(ctx, client, method, "http://"+c.Address+path, req, &resp)

	return resp, err
}
