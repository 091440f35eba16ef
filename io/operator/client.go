package operator

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
	// HTTP sends the requests; nil stands for a default client.
	HTTP *http.Client
}

// Settings returns the document in force.
func (c *Client) Settings(ctx context.Context) (Settings, error) {
	return get[Settings](ctx, c, "/v1/settings")
}

// Publish replaces the settings.
func (c *Client) Publish(ctx context.Context, req PublishRequest) (PublishResponse, error) {
	return send[PublishResponse](ctx, c, http.MethodPost, "/v1/settings", req)
}

// History lists the latest versions of the settings.
func (c *Client) History(ctx context.Context) (History, error) {
	return get[History](ctx, c, "/v1/settings/history")
}

// Keys lists issued keys.
func (c *Client) Keys(ctx context.Context) (Keys, error) { return get[Keys](ctx, c, "/v1/keys") }

// IssueKey issues a key for a workspace.
func (c *Client) IssueKey(ctx context.Context, workspace id.Workspace) (IssueResponse, error) {
	return send[IssueResponse](ctx, c, http.MethodPost, "/v1/keys", IssueRequest{Workspace: workspace})
}

// WithdrawKey withdraws a key for good.
func (c *Client) WithdrawKey(ctx context.Context, key id.APIKey) (Key, error) {
	return send[Key](ctx, c, http.MethodDelete, "/v1/keys/"+url.PathEscape(string(key)), nil)
}

// Programs lists programs, those of one workspace if it is named.
func (c *Client) Programs(ctx context.Context, workspace id.Workspace) (Programs, error) {
	return get[Programs](ctx, c, "/v1/programs?workspace="+url.QueryEscape(string(workspace)))
}

// Program returns a program with or without its history.
func (c *Client) Program(ctx context.Context, program id.Program, history bool) (caller.Program, error) {
	return get[caller.Program](ctx, c, "/v1/programs/"+url.PathEscape(string(program))+"?history="+strconv.FormatBool(history))
}

// EndProgram ends a program.
func (c *Client) EndProgram(ctx context.Context, program id.Program) (caller.Program, error) {
	return send[caller.Program](ctx, c, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/end", nil)
}

// Status says which host has which settings version in force.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Dump returns the host's whole state.
func (c *Client) Dump(ctx context.Context) (Dump, error) { return get[Dump](ctx, c, "/v1/dump") }

// Drain makes the host leave.
func (c *Client) Drain(ctx context.Context) error {
	_, err := send[struct{}](ctx, c, http.MethodPost, "/v1/drain", nil)

	return err
}

func get[Resp any](ctx context.Context, c *Client, path string) (Resp, error) {
	return send[Resp](ctx, c, http.MethodGet, path, nil)
}

func send[Resp any](ctx context.Context, c *Client, method, path string, req any) (Resp, error) {
	var resp Resp
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	err := httpx.SendJSON(ctx, client, method, "http://"+c.Address+path, req, &resp)

	return resp, err
}
