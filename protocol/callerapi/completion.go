package callerapi

import (
	"github.com/marblering/marblering/coordination/execution"
)

// StreamEnd is the data of the event that ends a whole streamed answer.
const StreamEnd = "[DONE]"

// Object types of the OpenAI dialect.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

// Completion is a whole answer in the OpenAI dialect.
type Completion struct {
	// ID names the call. A repeat of the answer has the same one.
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is in seconds since 1970.
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the only choice of an answer.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Message is a message of text.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of a call.
type Usage struct {
	PromptTokens        uint64             `json:"prompt_tokens"`
	CompletionTokens    uint64             `json:"completion_tokens"`
	TotalTokens         uint64             `json:"total_tokens"`
	PromptTokensDetails PromptTokenDetails `json:"prompt_tokens_details"`
}

// PromptTokenDetails says how much of a prompt the engine had in its cache.
type PromptTokenDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	// ID names the call. All chunks of an answer have the same one.
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is in seconds since 1970.
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// Usage is set in one chunk only, at the end.
	Usage *Usage `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk; the last chunk may have none.
type ChunkChoice struct {
	Index int        `json:"index"`
	Delta ChunkDelta `json:"delta"`
	// FinishReason is null in all chunks but the last.
	FinishReason *string `json:"finish_reason"`
}

// ChunkDelta is what a chunk adds.
type ChunkDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func newCompletion(answer execution.Answer) Completion {
	return Completion{
		ID:      completionID(answer.Start),
		Object:  objectCompletion,
		Created: answer.Created.Unix(),
		Model:   answer.Model,
		Choices: []CompletionChoice{{
			Message:      Message{Role: roleAssistant, Content: answer.Content},
			FinishReason: answer.FinishReason,
		}},
		Usage: newUsage(answer.Usage),
	}
}

func newUsage(counted execution.Usage) Usage {
	return Usage{
		PromptTokens:        counted.PromptTokens,
		CompletionTokens:    counted.OutputTokens,
		TotalTokens:         counted.PromptTokens + counted.OutputTokens,
		PromptTokensDetails: PromptTokenDetails{CachedTokens: counted.CachedTokens},
	}
}
