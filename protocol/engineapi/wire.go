package engineapi

import "encoding/json"

// ChatRequest is the body of POST /v1/chat/completions; [Request] says what its
// fields mean.
type ChatRequest struct {
	RequestID string            `json:"request_id"`
	Model     string            `json:"model"`
	Adapter   string            `json:"adapter,omitempty"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens uint64            `json:"max_tokens,omitempty"`
	Hold      string            `json:"hold,omitempty"`
	Priority  uint32            `json:"priority"`
}

// ChatChunk is one event of a streamed answer, or a whole answer.
type ChatChunk struct {
	// ID is the RequestID of the request.
	ID string `json:"id"`
	// Object is the type in the OpenAI dialect.
	Object string `json:"object"`
	// Created is in seconds since 1970.
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
	Error   *ErrorBody   `json:"error,omitempty"`
}

// ChatChoice is the only choice of a chunk: Delta in a stream, Message in a
// whole answer.
type ChatChoice struct {
	Index   int          `json:"index"`
	Delta   *ChatMessage `json:"delta,omitempty"`
	Message *ChatMessage `json:"message,omitempty"`
	// FinishReason is null in all chunks but the last.
	FinishReason *string `json:"finish_reason"`
}

// ChatMessage is text of the assistant.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatUsage counts tokens.
type ChatUsage struct {
	PromptTokens        uint64              `json:"prompt_tokens"`
	CompletionTokens    uint64              `json:"completion_tokens"`
	TotalTokens         uint64              `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails says how much of the prompt was found in the cache.
type PromptTokensDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// Types of errors that have the same HTTP status.
const (
	ErrorTypeStale     = "stale_fence"
	ErrorTypeDuplicate = "duplicate_request"
)

// Finish reasons of an answer. Only the first two end a whole answer.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// ErrorBody describes a refusal or a failure.
type ErrorBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// ErrorAnswer is the body of every answer that isn't a success.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
	// Fence is the engine's current fence where an order was refused.
	Fence uint64 `json:"fence,omitempty"`
}

// Hold is the context of one program that an engine keeps.
type Hold struct {
	Program string `json:"program"`
	Tokens  uint64 `json:"tokens"`
}

// HoldList is the answer of GET /v1/holds.
type HoldList struct {
	Holds []Hold `json:"holds"`
}

// CacheEventKind says what happened to cached context.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one line of GET /v1/cache/events.
type CacheEvent struct {
	// Number rises from event to event, with gaps where the engine lost some.
	Number  uint64         `json:"number"`
	Kind    CacheEventKind `json:"kind"`
	Program string         `json:"program"`
	// Tokens is the length of the program's context that is cached after the
	// event. Since it isn't a difference, a lost event does no lasting harm.
	Tokens uint64 `json:"tokens"`
}

// ExportRequest is the body of POST /v1/kv/export.
type ExportRequest struct {
	Program string `json:"program"`
}

// Context is a program's context as one engine exports it and another imports
// it.
type Context struct {
	Program string `json:"program,omitempty"`
	// Blob is the KV cache, which only engines can read.
	Blob []byte `json:"blob"`
	// Tokens is the length of the context.
	Tokens uint64 `json:"tokens"`
}

// Version names a version of a model or adapter.
type Version struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// State is the answer of GET /v1/state.
type State struct {
	Engine     string   `json:"engine"`
	Generation string   `json:"generation"`
	Zone       string   `json:"zone,omitempty"`
	Role       string   `json:"role"`
	Models     []string `json:"models"`
	Adapters   []string `json:"adapters"`
	// Versions has the version of each model and adapter that is loaded.
	Versions []Version `json:"versions"`
	// Loading has the models and adapters that the engine is loading.
	Loading []Version `json:"loading"`
	// Fence is the newest that the engine has seen in an order.
	Fence uint64 `json:"fence"`
	// Leaving is set while the engine takes no new work.
	Leaving bool `json:"leaving"`
}

// Action is what an order asks of an engine.
type Action string

// Actions of an order.
const (
	LoadModel     Action = "load_model"
	UnloadModel   Action = "unload_model"
	LoadAdapter   Action = "load_adapter"
	UnloadAdapter Action = "unload_adapter"
	SetRole       Action = "set_role"
	Drain         Action = "drain"
	Undrain       Action = "undrain"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence orders the orders: an engine refuses one whose fence is lower than
	// the newest it has seen.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	// Name is the model or adapter; for SetRole "mixed", "prefill" or "decode".
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
}
