package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Directory is what a client knows of the addresses of the system. It keeps a response for its ttl_s, and longer if there is no new one.
type Directory struct {
	fleet *Fleet

	mu        sync.Mutex
	addresses []string
	failed    []string
	until     time.Time
}

// Pick returns the address for a new connection: one at random of those that have not failed the client, or an empty string.
func (d *Directory) Pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.until) {
		d.resolve()
	}
	usable := slices.DeleteFunc(slices.Clone(d.addresses), func(address string) bool { return slices.Contains(d.failed, address) })
	if len(usable) == 0 {
		usable = d.addresses
	}
	if len(usable) == 0 {
		return ""
	}

	return usable[rand.IntN(len(usable))]
}

// Failed notes that an address did not answer.
func (d *Directory) Failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = append(d.failed, address)
}

// resolve asks up to three machines, with a second for each.
func (d *Directory) resolve() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(d.fleet.Nodes))[:min(3, len(d.fleet.Nodes))] {
		resp, err := client.Get("http://" + d.fleet.Nodes[i].IP + ":8360/resolve?name=" + hostName + "&region=region-a&zone=zone-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		d.addresses, d.failed = answer.Addresses, nil
		d.until = time.Now().Add(time.Duration(answer.TTL * float64(time.Second)))

		return
	}
}
