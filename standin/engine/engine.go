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

// Config configures a stand-in engine; zero fields take defaults.
type Config struct {
	Address string
	Model   string
	// MaxConcurrentRequests is the batch size: how many requests run at a time.
	MaxConcurrentRequests int
	// PrefillTokensPerSecond is how many uncached prompt tokens a request computes per second.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two generated tokens of a request that runs alone.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens id.Tokens
	// LoadReportDelay is the minimum age of the load in a report, once the engine has run that long.
	LoadReportDelay time.Duration
	// BatchSlowdown is the fraction of TokenInterval by which the interval grows with each further running request.
	BatchSlowdown float64
	// KeepaliveInterval is the time between keepalive comments in a stream without chunks; negative disables them.
	KeepaliveInterval time.Duration
	// CacheEventDelay is the delay until cache events are visible to readers.
	CacheEventDelay time.Duration
	// DropEveryNthCacheEvent is n if every n-th cache event is dropped; zero drops none.
	DropEveryNthCacheEvent uint64
	// ExitOnCrash makes a crash exit the process with CrashExitCode.
	ExitOnCrash bool
	// IgnoreFencingToken makes the engine accept requests with a stale fencing token.
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

// CrashExitCode is the exit code of an engine with ExitOnCrash.
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

// Faults are injected failures.
type Faults struct {
	// CrashOnText crashes the engine when a prompt contains this text.
	CrashOnText string `json:"crash-on"`
	// CrashAfterMillis is the delay of that crash in milliseconds after the request started.
	CrashAfterMillis int64 `json:"crash-after-ms"`
	// SilenceOpenConns makes all connections that are open now stop responding without being closed; new ones work.
	SilenceOpenConns bool `json:"silent"`
	// StallTokens makes streams send keepalive comments but no tokens.
	StallTokens bool `json:"stalled"`
	// TruncateAfterChunks closes the connections of streams after this many chunks; zero disables it.
	TruncateAfterChunks int `json:"cut-after"`
	// EndAfterChunks ends the responses of streams regularly after this many chunks, but without the end marker; zero disables it.
	EndAfterChunks int `json:"end-after"`
	// WrongRequestChunks is how many of the next chunks are sent with the id of another request.
	WrongRequestChunks int `json:"crossed"`
	// RepeatChunks makes streams send every chunk twice.
	RepeatChunks bool `json:"repeated"`
	// RefuseCacheRelease makes the engine refuse all cache releases with status 503.
	RefuseCacheRelease bool `json:"refuse-release"`
	// RefuseRequests makes the engine refuse all new requests with status 503.
	RefuseRequests bool `json:"refuse"`
}

// activeRequest is a request that runs or can still be resumed.
type activeRequest struct {
	id string
	// engineRun is the id of the engine run that accepted the request.
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

// chunksFrom returns the chunks from an index on, whether the request has finished, and a channel that is closed when there are more.
func (r *activeRequest) chunksFrom(index int) ([]protocol.Chunk, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index > len(r.chunks) {
		index = len(r.chunks)
	}

	return r.chunks[index:], r.finished, r.changed
}

// vocabulary are the words that the generated responses consist of.
var vocabulary = strings.Fields(`the stand hall aisle booth permit cable power badge crew route callbox fault line
	repair order part check sign date form fee notice plan draft rule chapter desk shift ticket`)

const (
	defaultMaxTokens = 24
	minTokens        = 6
	tokenSpread      = 18
)

// generateWords returns the response to a prompt; it depends on the prompt only, so that all engines give the same response.
func generateWords(messages []prompt.Message, maxTokens id.Tokens) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	prefixes := prompt.PrefixHashes(messages)
	seed := uint64(0)
	if len(prefixes) > 0 {
		seed = uint64(prefixes[len(prefixes)-1])
	}
	count := min(int(maxTokens), minTokens+int(seed%tokenSpread))
	words := make([]string, count)
	for i := range words {
		seed = xxhash.Sum64String(vocabulary[seed%uint64(len(vocabulary))]) ^ (seed >> 1) ^ uint64(i)
		words[i] = vocabulary[seed%uint64(len(vocabulary))]
	}

	return words
}

// generate waits for admission, computes the response and appends its chunks to the request.
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
	words := generateWords(req.Messages, req.MaxTokens)
	r.appendChunk(s.newChunk(r.id, protocol.Delta{Role: "assistant"}, nil, nil), false)
	for i, word := range words {
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
	full := prompt.Message{Role: "assistant", Content: strings.Join(words, " ")}
	s.cache.store(append(append([]prompt.Message(nil), req.Messages...), full), req.CacheOwner)

	reason := "stop"
	usage := protocol.Usage{
		PromptTokens:     promptTokens,
		CompletionTokens: id.Tokens(len(words)),
		TotalTokens:      promptTokens + id.Tokens(len(words)),
		Details:          protocol.UsageDetails{CachedTokens: cachedTokens},
	}
	r.appendChunk(s.newChunk(r.id, protocol.Delta{}, &reason, &usage), true)
}

// tokenInterval returns the time to the next token, which grows with the number of running requests.
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
