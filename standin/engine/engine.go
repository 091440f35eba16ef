package engine

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	protocol "cardamomward/io/engineclient"
)

// Config says what engine to play; zero fields take defaults.
type Config struct {
	Address string
	Model   string
	// Slots is how many requests run at a time.
	Slots int
	// PrefillPerSecond is how many prompt tokens are computed a second.
	PrefillPerSecond float64
	// TokenInterval is the time between two generated tokens.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens id.Tokens
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// BatchSlowdown is by how much of itself the token interval grows with each further running request.
	BatchSlowdown float64
	// Keepalive is how often a quiet stream shows life; a negative one switches it off.
	Keepalive time.Duration
	// EventLag is how late cache events appear.
	EventLag time.Duration
	// EventGap drops every so many-th cache event; zero drops none.
	EventGap uint64
	// CrashExits makes a crash end the process with CrashCode.
	CrashExits bool
	// IgnoreFence makes the engine take orders with an old fencing number.
	IgnoreFence bool
}

const (
	defaultModel         = "manual-7b"
	defaultSlots         = 8
	defaultPrefill       = 20000
	defaultTokenInterval = 2 * time.Millisecond
	defaultCacheTokens   = 200_000
	defaultSlowdown      = 0.02
	defaultKeepalive     = 250 * time.Millisecond
)

// CrashCode is the exit code of an engine that crashes for real.
const CrashCode = 3

func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = defaultModel
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.PrefillPerSecond == 0 {
		c.PrefillPerSecond = defaultPrefill
	}
	if c.TokenInterval == 0 {
		c.TokenInterval = defaultTokenInterval
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.BatchSlowdown == 0 {
		c.BatchSlowdown = defaultSlowdown
	}
	if c.Keepalive == 0 {
		c.Keepalive = defaultKeepalive
	}

	return c
}

// Faults switch the engine's failures on.
type Faults struct {
	// CrashOn ends the process's run when a prompt contains it.
	CrashOn string `json:"crash-on"`
	// CrashAfterMillis is how long a request runs before it crashes the engine.
	CrashAfterMillis int64 `json:"crash-after-ms"`
	// Silent makes all connections that are open now go silent for good; new ones work.
	Silent bool `json:"silent"`
	// Stalled makes requests show life without producing tokens.
	Stalled bool `json:"stalled"`
	// CutAfter ends streams after so many chunks without the end marker.
	CutAfter int `json:"cut-after"`
	// EndAfter ends streams after so many chunks as if they were complete, but without the end marker.
	EndAfter int `json:"end-after"`
	// Crossed sends this many of the next chunks under another request's id.
	Crossed int `json:"crossed"`
	// Repeated sends every chunk twice.
	Repeated bool `json:"repeated"`
	// RefuseRelease answers all releases of memory with 503.
	RefuseRelease bool `json:"refuse-release"`
	// Refuse answers all new requests with 503.
	Refuse bool `json:"refuse"`
}

// run is one request in the engine.
type run struct {
	id string
	// process is the engine's process that took the request.
	process  string
	owner    string
	cancel   context.CancelFunc
	mu       sync.Mutex
	chunks   []protocol.Chunk
	finished bool
	changed  chan struct{}
	// crashed is closed when the engine crashes while it runs the request.
	crashed chan struct{}
}

func (r *run) add(chunk protocol.Chunk, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunk.Index = len(r.chunks)
	r.chunks = append(r.chunks, chunk)
	r.finished = last
	close(r.changed)
	r.changed = make(chan struct{})
}

// from returns the chunks from an index on, whether they are the last and what announces more.
func (r *run) from(index int) ([]protocol.Chunk, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index > len(r.chunks) {
		index = len(r.chunks)
	}

	return r.chunks[index:], r.finished, r.changed
}

// words are what the stand-in writes; a real engine would make more of them.
var words = strings.Fields(`the stand hall aisle booth permit cable power badge crew route callbox fault line
	repair order part check sign date form fee notice plan draft rule chapter desk shift ticket`)

const (
	defaultMaxTokens = 24
	minTokens        = 6
	tokenSpread      = 18
)

// answerWords returns the words that answer a prompt; the same prompt has the same answer on every engine.
func answerWords(messages []prompt.Message, maxTokens id.Tokens) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	chain := prompt.PrefixHashes(messages)
	seed := uint64(0)
	if len(chain) > 0 {
		seed = uint64(chain[len(chain)-1])
	}
	count := min(int(maxTokens), minTokens+int(seed%tokenSpread))
	answer := make([]string, count)
	for i := range answer {
		seed = xxhash.Sum64String(words[seed%uint64(len(words))]) ^ (seed >> 1) ^ uint64(i)
		answer[i] = words[seed%uint64(len(words))]
	}

	return answer
}

// generate computes a request's answer and adds its chunks to the run.
func (s *Server) generate(ctx context.Context, r *run, req *protocol.ChatRequest) {
	if err := s.batch.enter(ctx, req.Priority); err != nil {
		return
	}
	defer s.batch.leave()

	promptTokens := prompt.EstimateTotalTokens(req.Messages)
	cachedTokens := s.cache.lookup(req.Messages)
	prefill := time.Duration(float64(promptTokens-cachedTokens) / s.config.PrefillPerSecond * float64(time.Second))
	if !pause(ctx, prefill) {
		return
	}
	answer := answerWords(req.Messages, req.MaxTokens)
	r.add(s.chunk(r.id, protocol.Delta{Role: "assistant"}, nil, nil), false)
	for i, word := range answer {
		if !pause(ctx, s.interval()) {
			return
		}
		for s.currentFaults().Stalled {
			if !pause(ctx, s.config.TokenInterval) {
				return
			}
		}
		if i > 0 {
			word = " " + word
		}
		r.add(s.chunk(r.id, protocol.Delta{Content: word}, nil, nil), false)
	}
	full := prompt.Message{Role: "assistant", Content: strings.Join(answer, " ")}
	s.cache.store(append(append([]prompt.Message(nil), req.Messages...), full), req.CacheOwner)

	reason := "stop"
	usage := protocol.Usage{
		PromptTokens:     promptTokens,
		CompletionTokens: id.Tokens(len(answer)),
		TotalTokens:      promptTokens + id.Tokens(len(answer)),
		Details:          protocol.UsageDetails{CachedTokens: cachedTokens},
	}
	r.add(s.chunk(r.id, protocol.Delta{}, &reason, &usage), true)
}

// interval returns the time to the next token, which grows with the batch.
func (s *Server) interval() time.Duration {
	running, _ := s.batch.counts()
	factor := 1 + s.config.BatchSlowdown*float64(max(0, running-1))

	return time.Duration(float64(s.config.TokenInterval) * factor)
}

func (s *Server) chunk(requestID string, delta protocol.Delta, reason *string, usage *protocol.Usage) protocol.Chunk {
	return protocol.Chunk{
		ID:      requestID,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   s.config.Model,
		Choices: []protocol.ChunkChoice{{Delta: delta, FinishReason: reason}},
		Usage:   usage,
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
