package callerapi

import (
	"github.com/marblering/marblering/coordination/execution"
)

// Object types of the OpenAI dialect.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

// completion is a whole answer in the OpenAI dialect.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        uint64             `json:"prompt_tokens"`
	CompletionTokens    uint64             `json:"completion_tokens"`
	TotalTokens         uint64             `json:"total_tokens"`
	PromptTokensDetails promptTokenDetails `json:"prompt_tokens_details"`
}

type promptTokenDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// chunk is one part of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index int        `json:"index"`
	Delta chunkDelta `json:"delta"`
	// FinishReason is null in all chunks but the last.
	FinishReason *string `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func newCompletion(answer execution.Answer) completion {
	return completion{
		ID:      completionID(answer.Start),
		Object:  objectCompletion,
		Created: answer.Created.Unix(),
		Model:   answer.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: roleAssistant, Content: answer.Content},
			FinishReason: answer.FinishReason,
		}},
		Usage: newUsage(answer.Usage),
	}
}

func newUsage(counted execution.Usage) usage {
	return usage{
		PromptTokens:        counted.PromptTokens,
		CompletionTokens:    counted.OutputTokens,
		TotalTokens:         counted.PromptTokens + counted.OutputTokens,
		PromptTokensDetails: promptTokenDetails{CachedTokens: counted.CachedTokens},
	}
}
