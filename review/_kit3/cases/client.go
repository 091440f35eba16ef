package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// nextID returns the id of a client attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+lastRequest.Add(1)) }

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	// IsKept is set if the connection had carried a request before.
	IsKept bool
	// Err is set if the response is not complete, or there is none.
	Err error
}

// Attempt is one client attempt.
type Attempt struct {
	Method, Path, Key, Body string
	Header                  map[string]string
	Deadline                time.Duration
	Client                  *http.Client
}

// Send sends the attempt to a machine, on a new connection unless the attempt has a client.
func (a Attempt) Send(front string) Answer {
	answer := Answer{ID: nextID()}
	if a.Deadline == 0 {
		a.Deadline = 3 * time.Second
	}
	client := a.Client
	if client == nil {
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport}
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { answer.IsKept = info.Reused }})
	defer cancel()
	method := a.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+a.Path, strings.NewReader(a.Body))
	if err != nil {
		answer.Err = err

		return answer
	}
	req.Host = hostName
	req.Header.Set("Request-Id", answer.ID)
	req.Header.Set("Authorization", "Bearer "+a.Key)
	req.Header.Set("Time-Remaining-Ms", fmt.Sprint(a.Deadline.Milliseconds()))
	for name, value := range a.Header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		answer.Err = err

		return answer
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	answer.Status, answer.Header, answer.Body, answer.Err = resp.StatusCode, resp.Header, string(data), err

	return answer
}
