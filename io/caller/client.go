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
	"cardamomward/io/engine"
)

// Client is a caller of the system, for the demo, the load tool and tests.
type Client struct {
	// Address is the caller address of any host.
	Address string
	// Bearer is the key that the caller presents.
	Bearer string
	HTTP   *http.Client
}

// Answer is the answer to a turn or a service call with the headers that came with it.
type Answer struct {
	Text       string
	Turn       id.Turn
	Host       id.Host
	Upstream   id.Upstream
	Usage      engine.Usage
	BudgetLeft id.Tokens
	Replayed   bool
	Status     int
	Body       []byte
}

// maxClientAnswer bounds what a client reads, in bytes.
const maxClientAnswer = 64 << 20

// errTransport marks a request without a whole answer.
var errTransport = errorx.NewNamespace("caller").NewType("transport")

// Where returns the address to use for a program, or for a new one.
func (c *Client) Where(ctx context.Context, program id.Program) (WhereResponse, error) {
	var resp WhereResponse
	_, err := c.do(ctx, http.MethodGet, "/v1/where?program="+url.QueryEscape(string(program)), nil, nil, &resp)

	return resp, err
}

// Models lists the models that the key's workspace may use.
func (c *Client) Models(ctx context.Context) (Models, error) {
	var models Models
	_, err := c.do(ctx, http.MethodGet, "/v1/models", nil, nil, &models)

	return models, err
}

// Open opens a program.
func (c *Client) Open(ctx context.Context, req OpenRequest) (Program, error) {
	var program Program
	_, err := c.do(ctx, http.MethodPost, "/v1/programs", req, nil, &program)

	return program, err
}

// History returns a program with its history.
func (c *Client) History(ctx context.Context, program id.Program) (Program, error) {
	var resp Program
	_, err := c.do(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(string(program))+"/history", nil, nil, &resp)

	return resp, err
}

// End ends a program.
func (c *Client) End(ctx context.Context, program id.Program) (Program, error) {
	var resp Program
	_, err := c.do(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/end", struct{}{}, nil, &resp)

	return resp, err
}

// Turn runs a turn with only its new messages; number zero stands for the next one.
func (c *Client) Turn(ctx context.Context, program id.Program, number id.Turn, chat ChatRequest) (Answer, error) {
	header := http.Header{}
	if number > 0 {
		header.Set(HeaderTurn, strconv.FormatUint(uint64(number), 10))
	}
	var completion engine.Completion
	answer, err := c.do(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(string(program))+"/turns", chat, header, &completion)
	if err != nil {
		return Answer{}, err
	}
	answer.Usage = completion.Usage
	if len(completion.Choices) > 0 {
		answer.Text = completion.Choices[0].Message.Content
	}

	return answer, nil
}

// Ask is Turn with one message of a user.
func (c *Client) Ask(ctx context.Context, program id.Program, model, text string) (Answer, error) {
	return c.Turn(ctx, program, 0, ChatRequest{Model: model, Messages: []ChatMessage{{Role: "user", Content: Text(text)}}})
}

// Call sends a call to a plain service.
func (c *Client) Call(ctx context.Context, program id.Program, service id.Service, path, key string, body any) (Answer, error) {
	header := http.Header{}
	header.Set(HeaderProgram, string(program))
	header.Set(HeaderIdempotencyKey, key)

	return c.do(ctx, http.MethodPost, fmt.Sprintf("/v1/services/%s/%s", service, path), body, header, nil)
}

func (c *Client) do(ctx context.Context, method, path string, req any, header http.Header, resp any) (Answer, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return Answer{}, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return Answer{}, err
	}
	if header != nil {
		httpReq.Header = header
	}
	httpReq.Header.Set("Content-Type", "application/json")
	if c.Bearer != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.Bearer)
	}
	httpResp, err := c.client().Do(httpReq)
	if err != nil {
		return Answer{}, errTransport.Wrap(err, "%s %s", method, path)
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxClientAnswer))
	if err != nil {
		return Answer{}, errTransport.Wrap(err, "read answer of %s %s", method, path)
	}

	return parseAnswer(httpResp, body, resp)
}

func parseAnswer(httpResp *http.Response, body []byte, resp any) (Answer, error) {
	if httpResp.StatusCode >= http.StatusMultipleChoices {
		var refused apierror.Body
		if err := json.Unmarshal(body, &refused); err != nil || refused.Error.Kind == "" {
			return Answer{}, errTransport.New("status %d: %.200s", httpResp.StatusCode, body)
		}

		return Answer{}, refused.ToError()
	}
	header := httpResp.Header
	turn, _ := strconv.ParseUint(header.Get(HeaderTurn), 10, 32)
	left, _ := strconv.ParseInt(header.Get(HeaderBudgetLeft), 10, 64)
	answer := Answer{
		Turn:       id.Turn(turn),
		Host:       id.Host(header.Get(HeaderHost)),
		Upstream:   id.Upstream(header.Get(HeaderUpstream)),
		BudgetLeft: id.Tokens(left),
		Replayed:   header.Get(HeaderReplayed) == "true",
		Status:     httpResp.StatusCode,
		Body:       body,
	}
	if resp == nil {
		return answer, nil
	}

	return answer, json.Unmarshal(body, resp)
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}

	return c.HTTP
}
