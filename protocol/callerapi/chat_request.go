package callerapi

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// maxOutputTokens is the greatest max_tokens that a caller may ask for. A model's
// context and a program's budget bound it further.
const maxOutputTokens = math.MaxInt32

// chatRequest is the body of a call, checked.
type chatRequest struct {
	// Messages are the JSON of the messages without white space between tokens,
	// so that a repeat in another layout has the same digest.
	Messages     []json.RawMessage
	MaxTokens    uint64
	Stream       bool
	IncludeUsage bool
}

// ignoredFields are fields of the OpenAI dialect that have no effect here. Where
// they are given they must have the right type. Any other field is ignored.
var ignoredFields = []struct {
	name  string
	kinds []kind
}{
	{"model", []kind{kindString}}, // the program's model applies
	{"frequency_penalty", []kind{kindNumber}},
	{"logprobs", []kind{kindBoolean}},
	{"metadata", []kind{kindObject}},
	{"presence_penalty", []kind{kindNumber}},
	{"response_format", []kind{kindObject}},
	{"seed", []kind{kindNumber}},
	{"stop", []kind{kindString, kindArray}},
	{"temperature", []kind{kindNumber}},
	{"tool_choice", []kind{kindString, kindObject}},
	{"tools", []kind{kindArray}},
	{"top_p", []kind{kindNumber}},
	{"user", []kind{kindString}},
}

// parseChatRequest checks the body of a call.
func parseChatRequest(body []byte) (chatRequest, error) {
	fields, err := parseBody(body)
	if err != nil {
		return chatRequest{}, err
	}
	request := chatRequest{
		MaxTokens: outputLimit(fields),
		Stream:    fields.boolean("stream"),
	}
	fields.integer("n", 1, 1)
	for _, ignored := range ignoredFields {
		fields.valueOf(ignored.name, ignored.kinds...)
	}
	messages, _ := fields.array("messages")
	if len(messages) == 0 {
		fields.fail("messages", "at least one message is wanted")
	}
	streamOptions, given := fields.valueOf("stream_options", kindObject)
	if fields.err != nil {
		return chatRequest{}, fields.err
	}
	if given {
		if request.IncludeUsage, err = parseStreamOptions(streamOptions); err != nil {
			return chatRequest{}, err
		}
	}
	for i, message := range messages {
		if err := checkMessage(fmt.Sprintf("messages[%d]", i), message); err != nil {
			return chatRequest{}, err
		}
	}
	request.Messages = messages
	return request, nil
}

// outputLimit reads max_completion_tokens, or max_tokens, its older name.
func outputLimit(fields *object) uint64 {
	limit := fields.integer("max_completion_tokens", 1, maxOutputTokens)
	older := fields.integer("max_tokens", 1, maxOutputTokens)
	if limit != 0 && older != 0 && limit != older {
		fields.fail("max_tokens", "%d contradicts max_completion_tokens, which is %d", older, limit)
	}
	return max(limit, older)
}

func parseStreamOptions(raw json.RawMessage) (includeUsage bool, err error) {
	options, err := parseObject("stream_options", raw)
	if err != nil {
		return false, err
	}
	includeUsage = options.boolean("include_usage")
	return includeUsage, options.err
}

// Roles of the OpenAI dialect.
const (
	roleAssistant = "assistant"
	roleTool      = "tool"
)

var roles = []string{"developer", "system", "user", roleAssistant, roleTool, "function"}

func checkMessage(path string, raw json.RawMessage) error {
	message, err := parseObject(path, raw)
	if err != nil {
		return err
	}
	message.require("role")
	role := message.text("role")
	if !slices.Contains(roles, role) {
		message.fail("role", "%.40q isn't one of %v", role, roles)
	}
	message.text("name")
	message.text("tool_call_id")
	if role == roleTool {
		message.require("tool_call_id")
	}
	_, hasToolCalls := message.array("tool_calls")
	if role != roleAssistant || !hasToolCalls {
		message.require("content")
	}
	content, _ := message.valueOf("content", kindString, kindArray)
	if message.err != nil {
		return message.err
	}
	if content != nil && kindOf(content) == kindArray {
		return checkContentParts(message)
	}
	return nil
}

func checkContentParts(message *object) error {
	parts, _ := message.array("content")
	if len(parts) == 0 {
		message.fail("content", "at least one part is wanted")
		return message.err
	}
	for i, raw := range parts {
		part, err := parseObject(fmt.Sprintf("%s[%d]", message.field("content"), i), raw)
		if err != nil {
			return err
		}
		part.require("type")
		part.text("type")
		part.text("text")
		if part.err != nil {
			return part.err
		}
	}
	return nil
}
