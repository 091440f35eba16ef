package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/review/_kit/harness"
)

const (
	relayRequests = 30
	relayEvents   = 10
	// eventPause is the time between two events of a stream.
	eventPause = 150 * time.Millisecond
	// queueFull is how long the runner's queue of new connections is full.
	queueFull = 80 * time.Millisecond
)

// engine is a runner whose streams have no length and end with their connection.
type engine struct {
	upstream *standin.Upstream
	record   *harness.Record
	listener *net.TCPListener
	gate     sync.RWMutex
}

func newEngine(id string, record *harness.Record) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	upstream := standin.NewUpstream(id, "engines", relayEvents)
	upstream.EventInterval, upstream.RegisteredAddress = eventPause, listener.Addr().String()
	e := &engine{upstream: upstream, record: record, listener: listener.(*net.TCPListener)}
	go e.run()

	return e, nil
}

func (e *engine) run() {
	for {
		e.gate.RLock()
		conn, err := e.listener.Accept()
		e.gate.RUnlock()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				time.Sleep(time.Millisecond)

				continue
			}

			return
		}
		go e.serve(conn)
	}
}

// setBacklog sets the length of the queue of new connections.
func (e *engine) setBacklog(length int) error {
	raw, err := e.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) })
	if err != nil {
		return err
	}

	return listenErr
}

// fillQueue fills the queue of new connections; the returned function lets the runner accept again.
func (e *engine) fillQueue() (release func(), err error) {
	if err := e.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return nil, err
	}
	e.gate.Lock()
	if err := e.setBacklog(1); err != nil {
		return nil, err
	}
	var fillers []net.Conn
	for range 16 {
		conn, err := net.DialTimeout("tcp4", e.listener.Addr().String(), 150*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	e.record.Write("%s: the queue of new connections is full with %d", e.upstream.ID, len(fillers))

	return func() {
		for _, conn := range fillers {
			conn.Close()
		}
		e.setBacklog(512)
		e.listener.SetDeadline(time.Time{})
		e.gate.Unlock()
		e.record.Write("%s: accepts connections again", e.upstream.ID)
	}, nil
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	w := &unframedWriter{conn: conn, header: make(http.Header)}
	e.upstream.Config.Handler.ServeHTTP(w, req)
	e.record.Write("%s: answered %s, broken %v", e.upstream.ID, req.Header.Get("Request-Id"), w.err)
}

// unframedWriter writes an answer without a length, whose end is the end of the connection.
type unframedWriter struct {
	conn     net.Conn
	header   http.Header
	hasBegun bool
	err      error
}

// Header returns the fields of the answer.
func (w *unframedWriter) Header() http.Header { return w.header }

// WriteHeader writes the head of the answer.
func (w *unframedWriter) WriteHeader(status int) {
	if w.hasBegun {
		return
	}
	w.hasBegun = true
	w.header.Set("Connection", "close")
	w.header.Del("Content-Length")
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	w.header.Write(&head)
	head.WriteString("\r\n")
	w.conn.Write(head.Bytes())
}

func (w *unframedWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	n, err := w.conn.Write(data)
	if err != nil {
		w.err = err
	}

	return n, err
}

// Flush does nothing, since nothing is held back.
func (w *unframedWriter) Flush() {}

// register writes the runner's entry, with room for all requests.
func (e *engine) register(store *standin.Store) {
	value, _ := json.Marshal(map[string]any{
		"service": e.upstream.Service, "address": e.upstream.RegisteredAddress, "zone": standin.InitialFailureDomain,
		"version": standin.InitialVersion, "slots": 2 * relayRequests, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
	})
	store.PutRecord(platform.UpstreamsTopic, e.upstream.ID, value)
}

// playRelay lets a host reach a runner through other hosts, because a burst of connections fills the runner's queue of new ones, and kills
// one of these while it passes streams on.
func playRelay(ctx context.Context, record *harness.Record) (bool, error) {
	fleet, err := harness.NewFleet(record, 10)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	standin.Configuration{Version: 1, APIKeys: []string{harness.Key}}.WriteToStore(fleet.Store)
	runner, err := newEngine("i-engine-1", record)
	if err != nil {
		return false, err
	}
	fleet.OnClose(func() { runner.listener.Close() })
	fleet.OnClose(runner.upstream.Close)
	runner.register(fleet.Store)
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	entry, victim := fleet.Hosts[0], fleet.Hosts[1]
	release, err := runner.fillQueue()
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, early, failed := 0, 0, 0
	for range relayRequests {
		wg.Go(func() {
			id := harness.NewRequestID()
			header := map[string]string{"Request-Id": id, "Token-Usage": "500,100", "Prompt-Prefix": "aa:400," + id[:8] + ":100", "Model": "m"}
			status, isSigned, text, complete := harness.Post(ctx, entry.CallerAddress(), "/draft/1", header, "input")
			events := harness.Events(text)
			record.Write("%s by %s: status %d, %d events, complete %v", id, entry.Name, status, events, complete)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK && complete && events == relayEvents:
				whole++
			case status == http.StatusOK && complete && isSigned:
				early++
				record.Say("MIXED: the answer %s, which a runner has signed, ended as complete after %d of %d events", id, events, relayEvents)
			default:
				failed++
			}
		})
	}
	time.Sleep(queueFull)
	release()
	harness.Sleep(ctx, 700*time.Millisecond)
	if harness.IsTroubled() {
		victim.Kill()
		record.Say("%s was killed", victim.Name)
	}
	wg.Wait()
	record.Say("of %d streams %d were whole, %d failed visibly, %d ended early and looked complete", relayRequests, whole, failed, early)
	if !harness.IsTroubled() && whole < relayRequests {
		return early > 0, fmt.Errorf("without the disruption only %d streams were whole", whole)
	}

	return early > 0, nil
}
