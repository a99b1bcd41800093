package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// encodeJSON encodes a value without the escapes that only HTML needs, and without
// a line break at the end.
func encodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}

// writeJSON answers with a whole JSON body.
func (e *exchange) writeJSON(status int, value any) {
	body, err := encodeJSON(value)
	if err != nil {
		// The types written here are the package's own; none fails to encode.
		e.cause = err
		status = http.StatusInternalServerError
	}
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.closeWhileDraining()
	e.answered = true
	e.extendWriteDeadline()
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil {
		e.lost = true
	}
}

// closeWhileDraining makes an answer that begins during a drain the last one of its
// connection.
func (e *exchange) closeWhileDraining() {
	if e.handler.inFlight.isDraining() {
		e.writer.Header().Set("Connection", "close")
	}
}

// setStartHeaders says in the header which engine serves the call.
func (e *exchange) setStartHeaders() {
	header := e.writer.Header()
	header.Set(HeaderEngine, e.start.Engine)
	header.Set(HeaderSequence, strconv.FormatUint(e.start.Sequence, 10))
	header.Set(HeaderAttempt, strconv.FormatUint(uint64(e.start.Attempt), 10))
	if e.start.Reason != "" {
		header.Set(HeaderReason, headerText(e.start.Reason))
	}
	if e.start.Replayed {
		header.Set(HeaderReplayed, "true")
	}
}

// maxHeaderText is the greatest length of a text in a header, in bytes.
const maxHeaderText = 512

// headerText returns what a header can carry of the text: visible ASCII and spaces
// (RFC 9110, section 5.5).
func headerText(text string) string {
	visible := strings.Map(func(char rune) rune {
		if char < ' ' || char > '~' {
			return '?'
		}
		return char
	}, text)
	return visible[:min(len(visible), maxHeaderText)]
}
