package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	answerBytes = 4 << 20
	// orderDeadline is the time that the stand-in of a client gives its requests.
	orderDeadline  = 3 * time.Second
	sentAfterTerm  = 2900 * time.Millisecond
	clientBufBytes = 16 << 10
	// clientSegmentBytes is that of clients on an Ethernet; the loopback device has segments of 64 KB, with buffers to match.
	clientSegmentBytes = 1460
	// The client reads slowly at first and catches up within its deadline.
	slowFor            = 2720 * time.Millisecond
	slowBytesPerSecond = 256 << 10
)

// slowConn is a connection that is read slowly for a time.
type slowConn struct {
	net.Conn

	openedAt time.Time
	received int
}

// Read reads no more than the rate allows.
func (c *slowConn) Read(p []byte) (int, error) {
	if time.Since(c.openedAt) < slowFor {
		time.Sleep(time.Until(c.openedAt.Add(time.Duration(c.received) * time.Second / slowBytesPerSecond)))
	}
	n, err := c.Conn.Read(p[:min(len(p), 8<<10)])
	c.received += n

	return n, err
}

// dialSlowly opens a connection with the buffers of a client on an Ethernet.
func dialSlowly(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBufBytes)       //nolint:errcheck // a larger one is as good
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegmentBytes) //nolint:errcheck // as on Ethernet
		})
	}}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}

	return &slowConn{Conn: conn, openedAt: time.Now()}, nil
}

// resolve asks a host for addresses, as clients do.
func resolve(h *host) ([]string, error) {
	resp, err := http.Get("http://" + h.settings.ResolveAddress + platform.ResolvePath + "?name=agents.example&region=r&zone=" + string(h.settings.FailureDomain))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	h.fleet.record("%s names %v for %g s", h.settings.Name, body.Addresses, body.TTL)

	return body.Addresses, nil
}

// playDrain stops a host while a client that reads slowly receives the answer to an order.
func playDrain(f *fleet) (bool, error) {
	f.startServices(2, answerBytes)
	if err := f.configure(); err != nil {
		return false, err
	}
	if err := f.startHosts(4); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	stopping := f.hosts[0]
	addresses, err := resolve(f.hosts[1])
	if err != nil {
		return false, err
	}
	resolvedAt := time.Now()
	if !strings.Contains(strings.Join(addresses, " "), stopping.address()) {
		return false, errors.New("the directory does not name the host")
	}
	if f.trouble {
		stopping.signal(syscall.SIGTERM)
		f.record("%s gets SIGTERM; its grace period is %s", stopping.settings.Name, gracePeriod)
	}
	time.Sleep(time.Until(resolvedAt.Add(sentAfterTerm)))
	requestID, sentAt := newID(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), orderDeadline)
	defer cancel()
	f.record("order %s is sent to %s", requestID, stopping.settings.Name)
	client := &http.Client{Transport: &http.Transport{DialContext: dialSlowly, DisableCompression: true, ReadBufferSize: 4 << 10}}
	response, err := standin.CallerRequest{Path: "/order/a", APIKey: apiKey, Body: "an order"}.SendWith(ctx, client, requestID, stopping.address())
	took := time.Since(sentAt)
	run, ran := f.execution(requestID)
	if !ran {
		return false, errors.New("the order did not run")
	}
	f.record("a runner ran the order %s after it was sent", run.At.Sub(sentAt).Round(time.Millisecond))
	f.record("the client has status %d (%v), signed %t, and %d bytes of %d after %s of its %s, cut off %t", response.Status, err, response.IsFromUpstream(),
		len(response.Body), answerBytes, took.Round(time.Millisecond), orderDeadline, response.Truncated)
	switch {
	case took >= orderDeadline-50*time.Millisecond:
		return false, errors.New("the client was too slow")
	case err != nil:
		return true, nil
	default:
		return response.Truncated, nil
	}
}
