package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"

	"cardamomward/platform/standin"
)

// The users' pages: a page of the newest records has at most 500 items or 1 MB.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// front passes calls on to a stand-in of the store, but serves the pages of the newest records of the hosts' topics itself: the stand-in encodes
// all records of a partition for each page, and nothing else is served meanwhile.
type front struct {
	*httptest.Server

	store *standin.Store
	proxy *httputil.ReverseProxy

	mu         sync.Mutex
	partitions map[string]*mirror
}

// mirror is the newest record of each key of a partition.
type mirror struct {
	end    int64
	newest map[string]mirrored
}

type mirrored struct {
	value  []byte
	offset int64
}

func newFront(store *standin.Store) *front {
	target := &url.URL{Scheme: "http", Host: store.Address()}
	f := &front{store: store, proxy: httputil.NewSingleHostReverseProxy(target), partitions: make(map[string]*mirror)}
	f.proxy.FlushInterval = -1
	f.proxy.ErrorLog = log.New(io.Discard, "", 0)
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))

	return f
}

// address returns where the front listens.
func (f *front) address() string { return f.Listener.Addr().String() }

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("topic") + " " + r.URL.Query().Get("part")
	switch {
	case strings.HasSuffix(r.URL.Path, "append"):
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		f.proxy.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusOK {
			f.apply(key, body, recorder.Body.Bytes())
		}
		w.WriteHeader(recorder.Code)
		w.Write(recorder.Body.Bytes()) //nolint:errcheck // the host has left
	case strings.HasSuffix(r.URL.Path, "newest") && strings.Contains(key, "slots"):
		f.servePage(w, key, r.URL.Query().Get("after"))
	default:
		f.proxy.ServeHTTP(w, r)
	}
}

// apply notes the records of an append.
func (f *front) apply(key string, body, response []byte) {
	var result struct {
		Offset int64 `json:"offset"`
		End    int64 `json:"end"`
	}
	if json.Unmarshal(response, &result) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.partitions[key]
	if m == nil {
		m = &mirror{newest: make(map[string]mirrored)}
		f.partitions[key] = m
	}
	m.end = max(m.end, result.End)
	for offset := result.Offset; len(body) >= 4; offset++ {
		length := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+length]
		body = body[4+length:]
		name, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if m.newest[name].offset <= offset {
			m.newest[name] = mirrored{value: value, offset: offset}
		}
	}
}

// servePage returns the newest records of the keys after one.
func (f *front) servePage(w http.ResponseWriter, key, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int64  `json:"end"`
	}{Items: []item{}}
	f.mu.Lock()
	if m := f.partitions[key]; m != nil {
		page.End = m.end
		var names []string
		for name, record := range m.newest {
			if name > after && len(record.value) > 0 {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		size := 0
		for _, name := range names {
			size += len(m.newest[name].value)
			if len(page.Items) == pageItems || len(page.Items) > 0 && size > pageBytes {
				page.HasMore = true

				break
			}
			page.Items = append(page.Items, item{name, base64.StdEncoding.EncodeToString(m.newest[name].value), m.newest[name].offset})
		}
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(page) //nolint:errcheck // the host has left
}
