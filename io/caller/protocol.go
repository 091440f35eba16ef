package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/io/engine"
)

// Headers of the callers' interface.
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

// WhereResponse says which address to use and for how long.
type WhereResponse struct {
	Host    id.Host `json:"host"`
	Address string  `json:"address"`
	// ForMillis is how long the answer may be kept.
	ForMillis int64 `json:"for-ms"`
}

// OpenRequest opens a program; all fields are optional.
type OpenRequest struct {
	Name   string     `json:"name"`
	Parent id.Program `json:"parent"`
	Budget id.Tokens  `json:"budget-tokens"`
}

// Program is a program as callers see it.
type Program struct {
	Program id.Program `json:"program"`
	Parent  id.Program `json:"parent,omitempty"`
	// Workspace is set in operators' listings only.
	Workspace id.Workspace `json:"workspace,omitempty"`
	Name      string       `json:"name,omitempty"`
	State     string       `json:"state"`
	Reason    string       `json:"end-reason,omitempty"`
	Turns     id.Turn      `json:"turns"`
	Budget    id.Tokens    `json:"budget-tokens"`
	Used      id.Tokens    `json:"used-tokens"`
	Reserved  id.Tokens    `json:"reserved-tokens"`
	Host      id.Host      `json:"host"`
	Address   string       `json:"address,omitempty"`
	History   []TurnRecord `json:"history,omitempty"`
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

// ChatRequest is a chat-completions request as callers send it.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens id.Tokens     `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens id.Tokens `json:"max_completion_tokens,omitempty"`

	engine.Sampling

	// The fields below are read to refuse what is not supported, never to pass it on.
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

// Text is the content of a message, given as a string or as a list of text parts.
type Text string

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a string, null or a list of text parts.
func (t *Text) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*t = Text(text)

		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is a string or a list of text parts")
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

// Models lists models in the shape of the chat-completions protocol.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
