package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/io/engineclient"
)

// Headers of the callers' API.
const (
	HeaderProgram        = "Cardamomward-Program"
	HeaderTurn           = "Cardamomward-Turn"
	HeaderTimeout        = "Cardamomward-Timeout"
	HeaderHost           = "Cardamomward-Host"
	HeaderUpstream       = "Cardamomward-Upstream"
	HeaderBudgetLeft     = "Cardamomward-Budget-Left"
	HeaderReplayed       = "Cardamomward-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HostLocation is the host and address to use for a program.
type HostLocation struct {
	Host    id.Host `json:"host"`
	Address string  `json:"address"`
	// ValidForMillis is the cache lifetime of the location, in milliseconds.
	ValidForMillis int64 `json:"for-ms"`
}

// OpenRequest is the body of a request to open a program; all fields are optional.
type OpenRequest struct {
	Name         string     `json:"name"`
	Parent       id.Program `json:"parent"`
	BudgetTokens id.Tokens  `json:"budget-tokens"`
}

// Program is the state of a program in responses to callers and operators.
type Program struct {
	ID     id.Program `json:"program"`
	Parent id.Program `json:"parent,omitempty"`
	// Workspace is set only in responses to operators.
	Workspace      id.Workspace `json:"workspace,omitempty"`
	Name           string       `json:"name,omitempty"`
	State          string       `json:"state"`
	EndReason      string       `json:"end-reason,omitempty"`
	TurnCount      id.Turn      `json:"turns"`
	BudgetTokens   id.Tokens    `json:"budget-tokens"`
	UsedTokens     id.Tokens    `json:"used-tokens"`
	ReservedTokens id.Tokens    `json:"reserved-tokens"`
	Host           id.Host      `json:"host"`
	// Address is the callers' address of the host to use for the program.
	Address string       `json:"address,omitempty"`
	History []TurnRecord `json:"history,omitempty"`
}

// TurnRecord is one turn of a program's history.
type TurnRecord struct {
	Turn             id.Turn          `json:"turn"`
	Input            []prompt.Message `json:"input"`
	Answer           prompt.Message   `json:"answer"`
	PromptTokens     id.Tokens        `json:"prompt-tokens"`
	CachedTokens     id.Tokens        `json:"cached-tokens"`
	CompletionTokens id.Tokens        `json:"completion-tokens"`
	FinishReason     string           `json:"finish-reason"`
}

// ChatRequest is a caller's chat-completions request.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens id.Tokens     `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens id.Tokens `json:"max_completion_tokens,omitempty"`

	engineclient.Sampling

	// The fields below are not supported; they are decoded only to reject requests that set them.
	N          int             `json:"n,omitempty"`
	Tools      json.RawMessage `json:"tools,omitempty"`
	ToolChoice json.RawMessage `json:"tool_choice,omitempty"`
	Functions  json.RawMessage `json:"functions,omitempty"`
	Logprobs   bool            `json:"logprobs,omitempty"`
}

// ChatMessage is one message of a chat-completions request.
type ChatMessage struct {
	Role      string          `json:"role"`
	Content   Text            `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// Text is the content of a message, encoded as a string or as a list of text parts.
type Text string

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, null or a list of text parts; parts of other types are an error.
func (t *Text) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*t = Text(text)

		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var all strings.Builder
	for i, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content[%d] is of type %q, only text is supported", i, part.Type)
		}
		all.WriteString(part.Text)
	}
	*t = Text(all.String())

	return nil
}

// Model is a model that a workspace may use.
type Model struct {
	ID      id.Model   `json:"id"`
	Object  string     `json:"object"`
	OwnedBy id.Service `json:"owned_by"`
}

// ModelList is a list of models in the format of the chat-completions protocol.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
