package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	id       string
	record   *harness.Record
	listener *net.TCPListener
	born     time.Time
	gate     sync.RWMutex
	mu       sync.Mutex
	sent     map[string]int
}

func newEngine(id string, record *harness.Record) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, record: record, listener: listener.(*net.TCPListener), born: time.Now(), sent: make(map[string]int)}
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
	e.record.Write("%s: the queue of new connections is full with %d", e.id, len(fillers))

	return func() {
		for _, conn := range fillers {
			conn.Close()
		}
		e.setBacklog(512)
		e.listener.SetDeadline(time.Time{})
		e.gate.Unlock()
		e.record.Write("%s: accepts connections again", e.id)
	}, nil
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	for {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if req.URL.Path == "/report" {
			body, _ := json.Marshal(map[string]any{"stage": "both", "born": e.born.UnixMilli()})
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

			continue
		}
		if req.Header.Get("Expect-Instance") != e.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)

			continue
		}
		e.stream(conn, id)

		return
	}
}

// stream sends a stream without a length, whose end is the end of the connection.
func (e *engine) stream(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, e.id)
	for number := 1; number <= relayEvents; number++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: word-%d of %s\n\n", number, number, id); err != nil {
			e.record.Write("%s: the connection of %s broke at event %d", e.id, id, number)

			return
		}
		e.mu.Lock()
		e.sent[id] = number
		e.mu.Unlock()
		time.Sleep(eventPause)
	}
	e.record.Write("%s: sent %s whole", e.id, id)
}

func (e *engine) register(store *standin.Store) {
	value, _ := json.Marshal(map[string]any{
		"service": "engines", "address": e.listener.Addr().String(), "zone": standin.InitialFailureDomain, "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": e.born.UnixMilli(),
	})
	store.PutRecord(platform.UpstreamsTopic, e.id, value)
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
			status, answer, text, complete := harness.Post(ctx, entry.CallerAddress(), "/draft/1", header, "input", 3*time.Second)
			events := harness.Events(text)
			record.Write("%s by %s: status %d, %d events, complete %v", id, entry.Name, status, events, complete)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK && complete && events == relayEvents:
				whole++
			case status == http.StatusOK && complete:
				early++
				record.Say("MIXED: the answer %s with signature %s ended as complete after %d of %d events", id, answer.Get("Response-Signature"), events, relayEvents)
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
