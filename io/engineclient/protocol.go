package engineclient

import (
	"encoding/json"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// HeaderEngineRun is the header of streamed responses with the id of the engine's process.
const HeaderEngineRun = "Engine-Run"

// Sampling holds the options of a chat-completions request that are passed from callers to engines unchanged.
type Sampling struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
}

// ChatRequest is a chat-completions request with the engines' extension fields.
type ChatRequest struct {
	Model     string           `json:"model"`
	Messages  []prompt.Message `json:"messages"`
	Stream    bool             `json:"stream,omitempty"`
	MaxTokens id.Tokens        `json:"max_tokens,omitempty"`
	// Priority orders queued calls; higher values run first.
	Priority int `json:"priority,omitempty"`
	// RequestID identifies the request for Cancel and Resume.
	RequestID string `json:"request_id,omitempty"`
	// CacheOwner is the owner of the prefix that the engine caches, a program's id. ReleaseCache names it.
	CacheOwner string `json:"cache_owner,omitempty"`

	Sampling
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     id.Tokens    `json:"prompt_tokens"`
	CompletionTokens id.Tokens    `json:"completion_tokens"`
	TotalTokens      id.Tokens    `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails counts the prompt tokens that were read from the prefix cache.
type UsageDetails struct {
	CachedTokens id.Tokens `json:"cached_tokens"`
}

// Chunk is one event of a streamed completion; Index numbers the events of a request from zero.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Index   int           `json:"index"`
}

// ChunkChoice is the part of a chunk with the text of one choice.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a complete response that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one generated message of a completion.
type Choice struct {
	Index        int            `json:"index"`
	Message      prompt.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// LoadReport is an engine's report of its load, which may be up to ReportAgeMillis old.
type LoadReport struct {
	// EngineRun is the id of the engine's process; it changes with each restart.
	EngineRun              string    `json:"run"`
	Model                  string    `json:"model"`
	MaxConcurrentCalls     int       `json:"slots"`
	RunningCalls           int       `json:"running"`
	QueuedCalls            int       `json:"waiting"`
	QueuedTokens           id.Tokens `json:"waiting_tokens"`
	CacheTokens            id.Tokens `json:"cache_tokens"`
	CacheCapacityTokens    id.Tokens `json:"cache_capacity"`
	PrefillTokensPerSecond float64   `json:"prefill_tokens_per_second"`
	ReportAgeMillis        int64     `json:"report_age_ms"`
	// FencingToken is the highest fencing token of a cache release that the engine has received.
	FencingToken uint64 `json:"fence"`
}

// CacheOwner is the number of tokens that an engine caches for an owner, which is a program's id.
type CacheOwner struct {
	Owner  string    `json:"owner"`
	Tokens id.Tokens `json:"tokens"`
}

// CacheList lists all owners for which an engine caches tokens.
type CacheList struct {
	EngineRun string       `json:"run"`
	Owners    []CacheOwner `json:"owners"`
}

// CacheRelease asks an engine to drop the prefixes that it caches for owners. The engine rejects a non-zero fencing token
// that is lower than the highest that it has received.
type CacheRelease struct {
	Owners       []string `json:"owners"`
	FencingToken uint64   `json:"fence,omitempty"`
}

// Cache event kinds.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// CacheEvent reports that an engine cached or evicted a prefix of an owner; a gap in Seq means that events were lost.
type CacheEvent struct {
	Seq    uint64            `json:"seq"`
	Kind   string            `json:"kind"`
	Prefix prompt.PrefixHash `json:"prefix"`
	Tokens id.Tokens         `json:"tokens"`
	Owner  string            `json:"owner"`
}

// CacheEvents is a batch of cache events; NextSeq is the sequence number to request next.
type CacheEvents struct {
	EngineRun string       `json:"run"`
	NextSeq   uint64       `json:"next"`
	Events    []CacheEvent `json:"events"`
}
