package callerapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/execution"
)

// call serves one call of a program.
func (h *Handler) call(e *exchange) error {
	headers, err := parseCallHeaders(e.request.Header, e.arrived)
	if err != nil {
		return err
	}
	e.key = headers.Key
	body, err := e.readBody()
	if err != nil {
		return err
	}
	parsed, err := parseChatRequest(body)
	if err != nil {
		return err
	}
	request, err := h.callRequest(e, headers, parsed)
	if err != nil {
		return err
	}
	// The caller is told the key even where it was made here: with it the caller
	// can ask again.
	e.writer.Header().Set(HeaderKey, request.Key)
	if parsed.Stream {
		return h.callStreamed(e, request, parsed.IncludeUsage)
	}
	return h.callWhole(e, request)
}

func (h *Handler) callRequest(e *exchange, headers callHeaders, parsed chatRequest) (execution.CallRequest, error) {
	key := headers.Key
	if key == "" {
		made, err := makeKey(h.options.Random)
		if err != nil {
			return execution.CallRequest{}, err
		}
		key = made
	}
	return execution.CallRequest{
		Tenant:     e.tenant,
		Program:    e.program,
		Key:        key,
		Sequence:   headers.Sequence,
		Repeatable: headers.Repeatable,
		Deadline:   headers.Deadline,
		Messages:   parsed.Messages,
		MaxTokens:  parsed.MaxTokens,
		Stream:     parsed.Stream,
	}, nil
}

// callWhole answers with one JSON body once the call is over.
func (h *Handler) callWhole(e *exchange, request execution.CallRequest) error {
	answer, err := h.options.Service.Call(e.detached, request, &wholeSink{exchange: e})
	if err != nil {
		return err
	}
	if err := checkAnswer(request, answer); err != nil {
		return err
	}
	e.start = answer.Start
	e.setStartHeaders()
	e.writer.Header().Set(HeaderResult, resultNumber(e.code))
	e.writeJSON(http.StatusOK, newCompletion(answer))
	if e.request.Context().Err() != nil {
		e.lost = true
	}
	return nil
}

func (h *Handler) callStreamed(e *exchange, request execution.CallRequest, includeUsage bool) error {
	e.stream = newStream(e, includeUsage)
	defer e.stream.close()
	answer, err := h.options.Service.Call(e.detached, request, e.stream)
	if err != nil {
		return err
	}
	if err := checkAnswer(request, answer); err != nil {
		return err
	}
	return e.stream.finish(answer)
}

// checkAnswer fails where an answer belongs to another request, so that no caller
// ever gets another's answer.
func checkAnswer(request execution.CallRequest, answer execution.Answer) error {
	if answer.Program != request.Program {
		return merry.Errorf("the call of program %q got an answer of program %q", request.Program, answer.Program)
	}
	if request.Sequence != 0 && answer.Sequence != request.Sequence {
		return merry.Errorf("call %d of program %q got the answer of call %d", request.Sequence, request.Program, answer.Sequence)
	}
	return nil
}

// completionID names a call; a repeat of the answer carries the same one.
func completionID(start execution.Start) string {
	var id strings.Builder
	id.WriteString("chatcmpl-")
	id.WriteString(start.Program)
	id.WriteByte('-')
	id.WriteString(strconv.FormatUint(start.Sequence, 10))
	return id.String()
}

// wholeSink notes which engine serves the call and when its first text came. It
// drops the text, which comes again with the whole answer, and never fails: a
// lost connection matters only when the answer is written.
type wholeSink struct {
	exchange *exchange
}

// Started implements [execution.Sink].
func (s *wholeSink) Started(start execution.Start) error {
	s.exchange.start = start
	return nil
}

// Text implements [execution.Sink].
func (s *wholeSink) Text(string) error {
	s.exchange.noteFirstToken()
	return nil
}

func (e *exchange) noteFirstToken() {
	if e.firstToken == 0 {
		e.firstToken = e.handler.options.Now().Sub(e.arrived)
	}
}
