package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/engineclient"
	"cardamomward/io/http1"
)

// Client is a client of the callers' API, for the demo, the load tool and tests.
type Client struct {
	// Address is the callers' address of any host.
	Address string
	// APIKey is sent as the bearer token; empty sends none.
	APIKey     string
	HTTPClient *http.Client
}

// Response is the response to a turn or a service call, with the values of its headers. Text and Usage are set only for a
// turn.
type Response struct {
	Text       string
	Turn       id.Turn
	Host       id.Host
	Upstream   id.Upstream
	Usage      engineclient.Usage
	BudgetLeft id.Tokens
	Replayed   bool
	Status     int
	Body       []byte
}

// maxResponseBytes bounds the response body that a client reads.
const maxResponseBytes = 64 << 20

// errTransport is the type of errors for a request without a complete response or with a body that is no API error.
var errTransport = errorx.NewNamespace("caller").NewType("transport")

// FindHost returns the host and address to use for a program, or for a new program if program is empty.
func (c *Client) FindHost(ctx context.Context, program id.Program) (HostLocation, error) {
	var resp HostLocation
	_, err := c.do(ctx, http.MethodGet, "/v1/where?program="+url.QueryEscape(string(program)), nil, nil, &resp)

	return resp, err
}

// ListModels returns the models that the key's workspace may use.
func (c *Client) ListModels(ctx context.Context) (ModelList, error) {
	var models ModelList
	_, err := c.do(ctx, http.MethodGet, "/v1/models", nil, nil, &models)

	return models, err
}

// OpenProgram opens a program and returns its state.
func (c *Client) OpenProgram(ctx context.Context, req OpenRequest) (Program, error) {
	var program Program
	_, err := c.do(ctx, http.MethodPost, "/v1/programs", req, nil, &program)

	return program, err
}

// ProgramHistory returns a program with the turns of its history.
func (c *Client) ProgramHistory(ctx context.Context, program id.Program) (Program, error) {
	var resp Program
	_, err := c.do(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(string(program))+"/history", nil, nil, &resp)

	return resp, err
}

// EndProgram ends a program and returns its final state.
func (c *Client) EndProgram(ctx context.Context, program id.Program) (Program, error) {
	var resp Program
	_, err := c.do(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/end", struct{}{}, nil, &resp)

	return resp, err
}

// RunTurn runs a turn with its new messages; number zero means the next turn.
func (c *Client) RunTurn(ctx context.Context, program id.Program, number id.Turn, chat ChatRequest) (Response, error) {
	header := http.Header{}
	if number > 0 {
		header.Set(HeaderTurn, strconv.FormatUint(uint64(number), 10))
	}
	var completion engineclient.Completion
	response, err := c.do(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/turns", chat, header, &completion)
	if err != nil {
		return Response{}, err
	}
	response.Usage = completion.Usage
	if len(completion.Choices) > 0 {
		response.Text = completion.Choices[0].Message.Content
	}

	return response, nil
}

// SendMessage runs the next turn with one user message.
func (c *Client) SendMessage(ctx context.Context, program id.Program, model, text string) (Response, error) {
	return c.RunTurn(ctx, program, 0, ChatRequest{Model: model, Messages: []ChatMessage{{Role: "user", Content: Text(text)}}})
}

// CallService sends a request to a plain service with an idempotency key.
func (c *Client) CallService(ctx context.Context, program id.Program, service id.Service, path, key string, body any) (Response, error) {
	header := http.Header{}
	header.Set(HeaderProgram, string(program))
	header.Set(HeaderIdempotencyKey, key)

	return c.do(ctx, http.MethodPost, fmt.Sprintf("/v1/services/%s/%s", service, path), body, header, nil)
}

func (c *Client) do(ctx context.Context, method, path string, req any, header http.Header, resp any) (Response, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return Response{}, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return Response{}, err
	}
	if header != nil {
		httpReq.Header = header
	}
	httpReq.Header.Set("Content-Type", "application/json")
	if c.APIKey != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.APIKey)
	}
	httpResp, err := c.httpClient().Do(httpReq)
	if err != nil {
		return Response{}, errTransport.Wrap(err, "%s %s", method, path)
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return Response{}, errTransport.Wrap(err, "read the response of %s %s", method, path)
	}

	return parseResponse(httpResp, body, resp)
}

func parseResponse(httpResp *http.Response, body []byte, resp any) (Response, error) {
	if httpResp.StatusCode >= http.StatusMultipleChoices {
		var errorBody apierror.Body
		if err := json.Unmarshal(body, &errorBody); err != nil || errorBody.Error.Kind == "" {
			return Response{}, errTransport.New("status %d: %.200s", httpResp.StatusCode, body)
		}

		return Response{}, errorBody.ToError()
	}
	header := httpResp.Header
	turn, _ := strconv.ParseUint(header.Get(HeaderTurn), 10, 32)
	budgetLeft, _ := strconv.ParseInt(header.Get(HeaderBudgetLeft), 10, 64)
	response := Response{
		Turn:       id.Turn(turn),
		Host:       id.Host(header.Get(HeaderHost)),
		Upstream:   id.Upstream(header.Get(HeaderUpstream)),
		BudgetLeft: id.Tokens(budgetLeft),
		Replayed:   header.Get(HeaderReplayed) == "true",
		Status:     httpResp.StatusCode,
		Body:       body,
	}
	if resp == nil {
		return response, nil
	}

	return response, json.Unmarshal(body, resp)
}

func (c *Client) httpClient() *http.Client {
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}

	return http1.NewStrictClient(client, maxResponseBytes)
}
