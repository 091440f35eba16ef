package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeBytes is what the platform's store holds in total before it refuses appends with 507.
const storeBytes = 400_000_000

// boundedStore passes calls on to a store, and refuses appends with 507 once the records of all topics have a total size. Records expire
// after 300 s, which no play reaches, or when they are trimmed.
type boundedStore struct {
	*httptest.Server

	mu      sync.Mutex
	stored  int64
	parts   map[string][]int64
	full    time.Time
	trims   int
	refused int
}

func (f *Fleet) boundStore() *boundedStore {
	b := &boundedStore{parts: make(map[string][]int64)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
		switch {
		case strings.HasSuffix(r.URL.Path, "append"):
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			b.mu.Lock()
			isFull := len(body) > 0 && b.stored+int64(len(body)) > storeBytes
			if isFull {
				b.refused++
				if b.full.IsZero() {
					b.full = time.Now()
					f.Log("the store is full")
				}
			} else {
				b.stored += int64(len(body))
			}
			b.mu.Unlock()
			if isFull {
				http.Error(w, "full", http.StatusInsufficientStorage)

				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		case strings.HasSuffix(r.URL.Path, "trim"):
			b.mu.Lock()
			b.trims++
			b.parts[key] = nil
			b.mu.Unlock()
		}
		f.Store.Config.Handler.ServeHTTP(w, r)
	}))

	return b
}

const (
	// largestInput is the largest body of the sites' turns, and turnsPerSecond are about half of the retained turns of roadline-ward. What is
	// younger than retention_s takes less than three quarters of the store.
	largestInput   = 100_000
	turnsPerSecond = 46
	playSeconds    = 100
)

// runFull lets programs leave retained turns behind at a steady rate.
func runFull() (bool, error) {
	f, err := newFleet(6)
	if err != nil {
		return false, err
	}
	defer f.Close()
	bounded := f.boundStore()
	defer bounded.CloseClientConnections()
	f.storeAddress = strings.TrimPrefix(bounded.URL, "http://")
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a"}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 6 {
		if err := f.AddRunner("engines").Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	size := largestInput
	if !isTroubled() {
		size /= 10
	}
	body := strings.Repeat("x", size)
	var whole, refused, cut, counted atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	const clientCount = 64
	pace := time.Second / turnsPerSecond
	tickets := make(chan int)
	go func() {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				close(tickets)

				return
			case <-ticker.C:
				select {
				case tickets <- number:
				default:
				}
			}
		}
	}()
	for i := range clientCount {
		clients.Go(func() {
			n := f.Nodes[i%len(f.Nodes)]
			client := &http.Client{Transport: &http.Transport{}}
			for number := range tickets {
				program := fmt.Sprintf("p%d", number)
				answer := Attempt{
					Path: "/chat/4b", Key: tenant.Key, Body: body, Client: client,
					Header: map[string]string{
						"Program-Id": program, "Session-Id": program, "Program-Time-Left": "5200", "Token-Budget": "3000", "Model": "m",
						"Token-Usage": "100,120", "Prompt-Prefix": "5c1e07a2:80,91bd3f06:20",
					},
				}.Send(n.Front)
				switch {
				case answer.IsCut:
					cut.Add(1)
					if answer.IsKept && n.InTouch(time.Now()) {
						counted.Add(1)
					}
				case answer.Status == http.StatusOK:
					whole.Add(1)
				default:
					refused.Add(1)
				}
				f.Log("turn %s of %s sent to %s: %d %v %s", answer.ID, program, n.Name, answer.Status, answer.Err, refusal(answer))
			}
		})
	}
	for until := time.Now().Add(playSeconds * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		bounded.mu.Lock()
		f.Log("the store holds %d bytes; %d trims, %d appends refused", bounded.stored, bounded.trims, bounded.refused)
		bounded.mu.Unlock()
	}
	close(stop)
	clients.Wait()
	f.Say("%d turns answered whole, %d refused, %d broken off, %d of them on kept connections by machines in touch; the rule allows 3", whole.Load(), refused.Load(), cut.Load(), counted.Load())

	return counted.Load() <= 3, nil
}
