package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bufio"

	"cardamomward/platform"
)

const (
	answerBytes    = 4 << 20
	orderDeadline  = 4 * time.Second
	sentAfterTerm  = 2700 * time.Millisecond
	clientBufBytes = 16 << 10
	// clientSegmentBytes is that of clients on an Ethernet; the loopback device has segments of 64 KB, with buffers to match.
	clientSegmentBytes = 1460
	// The client reads slowly at first: a busy machine that catches up within its deadline.
	slowFor            = 3 * time.Second
	slowBytesPerSecond = 256 << 10
)

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
	dialer := net.Dialer{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBufBytes)       //nolint:errcheck // a larger one is as good
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegmentBytes) //nolint:errcheck // as on Ethernet
		})
	}}
	conn, err := dialer.Dial("tcp", stopping.address())
	if err != nil {
		return false, err
	}
	defer conn.Close() //nolint:errcheck // nothing follows
	requestID := newID()
	sentAt := time.Now()
	body := "an order"
	_, err = fmt.Fprintf(conn, "POST /order/a HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nTime-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		requestID, apiKey, orderDeadline.Milliseconds(), len(body), body)
	if err != nil {
		return false, err
	}
	f.record("order %s is sent to %s", requestID, stopping.settings.Name)
	conn.SetReadDeadline(sentAt.Add(orderDeadline)) //nolint:errcheck // the read fails then
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		f.record("no answer: %v", err)
		if _, ran := f.execution(requestID); !ran {
			return false, errors.New("the order did not run")
		}

		return f.trouble, nil
	}
	f.record("answer: %d, %s bytes, signature %q, connection close %t", resp.StatusCode, resp.Header.Get("Content-Length"), resp.Header.Get("Response-Signature"), resp.Close)
	length, err := strconv.Atoi(resp.Header.Get("Content-Length"))
	if err != nil || resp.StatusCode != 200 {
		return false, errors.New("the order was refused")
	}
	received := 0
	buf := make([]byte, 8<<10)
	var readErr error
	for received < length && readErr == nil {
		n, err := io.ReadFull(resp.Body, buf[:min(len(buf), length-received)])
		received += n
		readErr = err
		if time.Since(sentAt) < slowFor {
			time.Sleep(time.Until(sentAt.Add(time.Duration(received) * time.Second / slowBytesPerSecond)))
		}
	}
	took := time.Since(sentAt)
	_, ran := f.execution(requestID)
	f.record("the client has read %d of %d bytes in %s of its %s: %v; the order ran: %t", received, length, took.Round(time.Millisecond), orderDeadline, readErr, ran)
	if received < length && took >= orderDeadline-100*time.Millisecond {
		return false, errors.New("the client was too slow")
	}

	return received < length && ran, nil
}
