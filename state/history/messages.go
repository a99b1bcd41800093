package history

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// Parameters of EstimateTokens: English text has about four bytes per token in common
// byte-pair vocabularies, and a chat template adds a few tokens around each message.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4
)

// EstimateTokens estimates the number of tokens of the messages before an engine has
// counted them: a quarter of the bytes of each message, rounded up, plus four per message.
// Budgets are reserved from this estimate. It isn't an upper bound.
func EstimateTokens(messages []json.RawMessage) uint64 {
	var total uint64
	for _, message := range messages {
		total += (uint64(len(message)) + bytesPerToken - 1) / bytesPerToken
		total += tokensPerMessage
	}
	return total
}

// turnMessages returns the messages that the caller added in the turn, followed by the
// answer. They alias the turn's memory.
func turnMessages(turn *statev1.Turn) ([]json.RawMessage, error) {
	messages, err := splitArray(turn.GetMessages())
	if err != nil {
		return nil, merry.Prependf(err, "messages of turn %d of program %q", turn.GetSequence(), turn.GetProgram())
	}
	if len(turn.GetAnswer()) > 0 {
		messages = append(messages, turn.GetAnswer())
	}
	return messages, nil
}

// splitArray returns the elements of a JSON array. They alias the array's memory.
func splitArray(array []byte) ([]json.RawMessage, error) {
	if len(array) == 0 {
		return nil, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(array))
	opening, err := decoder.Token()
	if err != nil {
		return nil, merry.Prepend(err, "parsing a JSON array")
	}
	if opening != json.Delim('[') {
		return nil, merry.Errorf("expected a JSON array, found %v", opening)
	}
	var elements []json.RawMessage
	for decoder.More() {
		var element json.RawMessage
		if err := decoder.Decode(&element); err != nil {
			return nil, merry.Prependf(err, "parsing element %d of a JSON array", len(elements))
		}
		end := int(decoder.InputOffset())
		elements = append(elements, array[end-len(element):end:end])
	}
	if _, err := decoder.Token(); err != nil {
		return nil, merry.Prepend(err, "parsing the end of a JSON array")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, merry.Errorf("unexpected data after the JSON array, at byte %d", decoder.InputOffset())
	}
	return elements, nil
}
