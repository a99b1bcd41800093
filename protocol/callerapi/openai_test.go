package callerapi_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

func newOpenAI(address string) openai.Client {
	return openai.NewClient(option.WithBaseURL(address+"/v1/programs/"+testProgram), option.WithAPIKey(testKey))
}

func question() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "roast-7b",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which grind?")},
		MaxTokens: openai.Int(50),
	}
}

func TestOpenAIClientGetsWholeAnswer(t *testing.T) {
	service := &fakeService{answer: answerPieces("Medium ", "<fine> & é.")}
	_, server := startServer(t, service, nil)
	client := newOpenAI(server.URL)

	var response *http.Response
	completion, err := client.Chat.Completions.New(context.Background(), question(), option.WithResponseInto(&response))
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, "Medium <fine> & é.")
	assert.Equal(t, completion.Choices[0].FinishReason, "stop")
	assert.Equal(t, completion.Usage.TotalTokens, int64(15))
	assert.Equal(t, completion.Usage.PromptTokensDetails.CachedTokens, int64(8))
	assert.Equal(t, response.Header.Get(callerapi.HeaderEngine), "engine-a")
	assert.Equal(t, response.Header.Get(callerapi.HeaderResult), "0")

	calls := service.recordedCalls()
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Tenant, testTenant)
	assert.Equal(t, calls[0].MaxTokens, uint64(50))
	assert.Equal(t, response.Header.Get(callerapi.HeaderKey), calls[0].Key)
	assert.Equal(t, string(calls[0].Messages[0]), `{"content":"Which grind?","role":"user"}`)
}

func TestOpenAIClientGetsStream(t *testing.T) {
	for _, test := range []struct {
		name         string
		includeUsage bool
	}{
		{"usage in the last chunk", false},
		{"usage asked for", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			service := &fakeService{answer: answerPieces("Med", "ium \xc3", "\xa9.")}
			_, server := startServer(t, service, nil)
			client := newOpenAI(server.URL)
			params := question()
			if test.includeUsage {
				params.StreamOptions.IncludeUsage = openai.Bool(true)
			}
			var whole openai.ChatCompletionAccumulator
			stream := client.Chat.Completions.NewStreaming(context.Background(), params)
			for stream.Next() {
				assert.Assert(t, whole.AddChunk(stream.Current()))
			}
			assert.NilError(t, stream.Err())
			assert.Equal(t, whole.Choices[0].Message.Content, "Medium é.")
			assert.Equal(t, whole.Choices[0].FinishReason, "stop")
			assert.Equal(t, whole.Usage.TotalTokens, int64(15))
			assert.Assert(t, service.recordedCalls()[0].Stream)
		})
	}
}

func TestOpenAIClientGetsErrors(t *testing.T) {
	service := &fakeService{answer: func(context.Context, execution.CallRequest, execution.Sink) (execution.Answer, error) {
		return execution.Answer{}, result.Errorf(result.EngineFailed, "both attempts failed")
	}}
	_, server := startServer(t, service, nil)
	client := newOpenAI(server.URL)

	_, err := client.Chat.Completions.New(context.Background(), question())
	var failure *openai.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.StatusCode, http.StatusBadGateway)
	assert.Equal(t, failure.Type, "engine_failed")
	assert.Equal(t, failure.Message, "both attempts failed")
	// The library repeats a 502 by itself unless it is told not to.
	assert.Equal(t, len(service.recordedCalls()), 1)

	stream := client.Chat.Completions.NewStreaming(context.Background(), question())
	assert.Assert(t, !stream.Next())
	assert.Assert(t, errors.As(stream.Err(), &failure))
	assert.Equal(t, failure.StatusCode, http.StatusBadGateway)
}

func TestOpenAIClientGetsErrorMidStream(t *testing.T) {
	service := &fakeService{answer: func(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
		_ = sink.Started(startedAnswer(request).Start)
		_ = sink.Text("Medi")
		return execution.Answer{}, result.Errorf(result.OutcomeUnknown, "the executor was lost")
	}}
	_, server := startServer(t, service, nil)
	client := newOpenAI(server.URL)

	stream := client.Chat.Completions.NewStreaming(context.Background(), question())
	var text string
	for stream.Next() {
		choice := stream.Current().Choices[0]
		text += choice.Delta.Content
		assert.Equal(t, choice.FinishReason, "")
	}
	assert.Equal(t, text, "Medi")
	assert.Check(t, cmp.ErrorContains(stream.Err(), "outcome_unknown"))
}
