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
	// MaxConcurrentRequests is how many requests run at a time.
	MaxConcurrentRequests int
	// PrefillTokensPerSecond is how many prompt tokens are computed a second.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two generated tokens.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens id.Tokens
	// LoadReportDelay is how old a load report is.
	LoadReportDelay time.Duration
	// BatchSlowdown is by how much of itself the token interval grows with each further running request.
	BatchSlowdown float64
	// KeepaliveInterval is how often a quiet stream shows life; a negative one switches it off.
	KeepaliveInterval time.Duration
	// CacheEventDelay is how late cache events appear.
	CacheEventDelay time.Duration
	// DropEveryNthCacheEvent drops every so many-th cache event; zero drops none.
	DropEveryNthCacheEvent uint64
	// ExitOnCrash makes a crash end the process with CrashExitCode.
	ExitOnCrash bool
	// IgnoreFencingToken makes the engine take orders with an old fencing number.
	IgnoreFencingToken bool
}

const (
	defaultModel                  = "manual-7b"
	defaultMaxConcurrentRequests  = 8
	defaultPrefillTokensPerSecond = 20000
	defaultTokenInterval          = 2 * time.Millisecond
	defaultCacheTokens            = 200_000
	defaultBatchSlowdown          = 0.02
	defaultKeepaliveInterval      = 250 * time.Millisecond
)

// CrashExitCode is the exit code of an engine that crashes for real.
const CrashExitCode = 3

func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = defaultModel
	}
	if c.MaxConcurrentRequests == 0 {
		c.MaxConcurrentRequests = defaultMaxConcurrentRequests
	}
	if c.PrefillTokensPerSecond == 0 {
		c.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if c.TokenInterval == 0 {
		c.TokenInterval = defaultTokenInterval
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.BatchSlowdown == 0 {
		c.BatchSlowdown = defaultBatchSlowdown
	}
	if c.KeepaliveInterval == 0 {
		c.KeepaliveInterval = defaultKeepaliveInterval
	}

	return c
}

// Faults switch the engine's failures on.
type Faults struct {
	// CrashOnText ends the process's run when a prompt contains it.
	CrashOnText string `json:"crash-on"`
	// CrashAfterMillis is how long a request runs before it crashes the engine.
	CrashAfterMillis int64 `json:"crash-after-ms"`
	// SilenceOpenConns makes all connections that are open now go silent for good; new ones work.
	SilenceOpenConns bool `json:"silent"`
	// StallTokens makes requests show life without producing tokens.
	StallTokens bool `json:"stalled"`
	// TruncateAfterChunks ends streams after so many chunks without the end marker.
	TruncateAfterChunks int `json:"cut-after"`
	// EndAfterChunks ends streams after so many chunks as if they were complete, but without the end marker.
	EndAfterChunks int `json:"end-after"`
	// WrongRequestChunks sends this many of the next chunks under another request's id.
	WrongRequestChunks int `json:"crossed"`
	// RepeatChunks sends every chunk twice.
	RepeatChunks bool `json:"repeated"`
	// RefuseCacheRelease answers all releases of memory with 503.
	RefuseCacheRelease bool `json:"refuse-release"`
	// RefuseRequests answers all new requests with 503.
	RefuseRequests bool `json:"refuse"`
}

// activeRequest is one request in the engine.
type activeRequest struct {
	id string
	// engineRun is the engine run that took the request.
	engineRun string
	owner     string
	cancel    context.CancelFunc
	mu        sync.Mutex
	chunks    []protocol.Chunk
	finished  bool
	changed   chan struct{}
	// crashed is closed when the engine crashes while it runs the request.
	crashed chan struct{}
}

func (r *activeRequest) appendChunk(chunk protocol.Chunk, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunk.Index = len(r.chunks)
	r.chunks = append(r.chunks, chunk)
	r.finished = last
	close(r.changed)
	r.changed = make(chan struct{})
}

// chunksFrom returns the chunks from an index on, whether they are the last and what announces more.
func (r *activeRequest) chunksFrom(index int) ([]protocol.Chunk, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index > len(r.chunks) {
		index = len(r.chunks)
	}

	return r.chunks[index:], r.finished, r.changed
}

// vocabulary are what the stand-in writes; a real engine would make more of them.
var vocabulary = strings.Fields(`the stand hall aisle booth permit cable power badge crew route callbox fault line
	repair order part check sign date form fee notice plan draft rule chapter desk shift ticket`)

const (
	defaultMaxTokens = 24
	minTokens        = 6
	tokenSpread      = 18
)

// generateWords returns the words that answer a prompt; the same prompt has the same answer on every engine.
func generateWords(messages []prompt.Message, maxTokens id.Tokens) []string {
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
		seed = xxhash.Sum64String(vocabulary[seed%uint64(len(vocabulary))]) ^ (seed >> 1) ^ uint64(i)
		answer[i] = vocabulary[seed%uint64(len(vocabulary))]
	}

	return answer
}

// generate computes a request's answer and adds its chunks to the run.
func (s *Server) generate(ctx context.Context, r *activeRequest, req *protocol.ChatRequest) {
	if err := s.batch.acquire(ctx, req.Priority); err != nil {
		return
	}
	defer s.batch.release()

	promptTokens := prompt.EstimateTotalTokens(req.Messages)
	cachedTokens := s.cache.lookup(req.Messages)
	prefill := time.Duration(float64(promptTokens-cachedTokens) / s.config.PrefillTokensPerSecond * float64(time.Second))
	if !sleepContext(ctx, prefill) {
		return
	}
	answer := generateWords(req.Messages, req.MaxTokens)
	r.appendChunk(s.newChunk(r.id, protocol.Delta{Role: "assistant"}, nil, nil), false)
	for i, word := range answer {
		if !sleepContext(ctx, s.tokenInterval()) {
			return
		}
		for s.currentFaults().StallTokens {
			if !sleepContext(ctx, s.config.TokenInterval) {
				return
			}
		}
		if i > 0 {
			word = " " + word
		}
		r.appendChunk(s.newChunk(r.id, protocol.Delta{Content: word}, nil, nil), false)
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
	r.appendChunk(s.newChunk(r.id, protocol.Delta{}, &reason, &usage), true)
}

// tokenInterval returns the time to the next token, which grows with the batch.
func (s *Server) tokenInterval() time.Duration {
	running, _ := s.batch.counts()
	factor := 1 + s.config.BatchSlowdown*float64(max(0, running-1))

	return time.Duration(float64(s.config.TokenInterval) * factor)
}

func (s *Server) newChunk(requestID string, delta protocol.Delta, reason *string, usage *protocol.Usage) protocol.Chunk {
	return protocol.Chunk{
		ID:      requestID,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   s.config.Model,
		Choices: []protocol.ChunkChoice{{Delta: delta, FinishReason: reason}},
		Usage:   usage,
	}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
