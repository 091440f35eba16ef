package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cardamomward/platform/standin"
)

// clientDeadline is how long the clients wait, as they say in each request.
const clientDeadline = 3 * time.Second

var lastRequest atomic.Int64

// nextID returns the id of a client attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+lastRequest.Add(1)) }

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Body   string
	// IsKept is set if the connection had carried a request before.
	IsKept bool
	// IsCut is set if the connection ended within the answer, before the client's deadline.
	IsCut bool
	// Err is set if the answer is not complete, or there is none.
	Err error
}

var errIncomplete = errors.New("the answer has no end")

// Attempt is one client attempt.
type Attempt struct {
	Method, Path, Key, Body string
	Header                  map[string]string
	Client                  *http.Client
}

// Send sends the attempt to a machine, on a new connection unless the attempt has a client.
func (a Attempt) Send(front string) Answer {
	answer := Answer{ID: nextID()}
	client := a.Client
	if client == nil {
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { answer.IsKept = info.Reused }})
	request := standin.CallerRequest{Method: a.Method, Path: a.Path, APIKey: a.Key, Body: a.Body, Header: a.Header}
	response, err := request.SendWith(traced, client, answer.ID, front)
	answer.Status, answer.Body, answer.Err = response.Status, response.Body, err
	if response.Truncated {
		answer.Err, answer.IsCut = errIncomplete, ctx.Err() == nil
	}

	return answer
}
