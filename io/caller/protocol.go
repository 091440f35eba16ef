package caller

import (
	"cardamomward/core/id"
	"cardamomward/core/prompt"
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
	Model     string           `json:"model"`
	Messages  []prompt.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens id.Tokens        `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens id.Tokens `json:"max_completion_tokens"`
}
