package engine

import (
	"encoding/json"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// HeaderRun carries the engine's process on answers that stream.
const HeaderRun = "Engine-Run"

// Sampling are the options of a chat-completions request that callers may set and engines see.
type Sampling struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
}

// ChatRequest is a chat-completions request with the engines' published extensions.
type ChatRequest struct {
	Model     string           `json:"model"`
	Messages  []prompt.Message `json:"messages"`
	Stream    bool             `json:"stream,omitempty"`
	MaxTokens id.Tokens        `json:"max_tokens,omitempty"`
	// Priority is higher for calls that go first.
	Priority int `json:"priority,omitempty"`
	// RequestID names the request for cancel and resume.
	RequestID string `json:"request_id,omitempty"`
	// CacheOwner names whose prefix the engine keeps, for its later release.
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

// UsageDetails says how many prompt tokens came from the prefix cache.
type UsageDetails struct {
	CachedTokens id.Tokens `json:"cached_tokens"`
}

// Chunk is one event of a streamed completion; Index counts the events of its request from zero.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Index   int           `json:"index"`
}

// ChunkChoice is the part of a chunk that carries text.
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

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one answer of a completion.
type Choice struct {
	Index        int            `json:"index"`
	Message      prompt.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// Load is an engine's lagging report of its load.
type Load struct {
	// Run identifies the engine's process; it changes with each restart.
	Run            string    `json:"run"`
	Model          string    `json:"model"`
	Slots          int       `json:"slots"`
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	WaitingTokens  id.Tokens `json:"waiting_tokens"`
	CacheTokens    id.Tokens `json:"cache_tokens"`
	CacheCapacity  id.Tokens `json:"cache_capacity"`
	PrefillPerSec  float64   `json:"prefill_tokens_per_second"`
	ReportAgeMilli int64     `json:"report_age_ms"`
	Fence          uint64    `json:"fence"`
}

// CacheOwner says what an engine holds for an owner.
type CacheOwner struct {
	Owner  string    `json:"owner"`
	Tokens id.Tokens `json:"tokens"`
}

// CacheList is all that an engine holds.
type CacheList struct {
	Run    string       `json:"run"`
	Owners []CacheOwner `json:"owners"`
}

// CacheRelease asks an engine to drop what it holds for owners.
type CacheRelease struct {
	Owners []string `json:"owners"`
	Fence  uint64   `json:"fence,omitempty"`
}

// Cache event kinds.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// CacheEvent says that an engine stored or removed a prefix; a jump of Seq is a gap.
type CacheEvent struct {
	Seq    uint64            `json:"seq"`
	Kind   string            `json:"kind"`
	Prefix prompt.PrefixHash `json:"prefix"`
	Tokens id.Tokens         `json:"tokens"`
	Owner  string            `json:"owner"`
}

// CacheEvents is a run of cache events; Next is the sequence number to ask for next.
type CacheEvents struct {
	Run    string       `json:"run"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}
