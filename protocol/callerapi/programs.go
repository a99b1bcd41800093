package callerapi

import (
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/result"
)

const (
	// maxIdleLimit is the longest idle limit that a caller may set.
	maxIdleLimit = 30 * 24 * time.Hour
	// maxNameBytes is the greatest length of the name of a model or adapter, and of the
	// reason why a program is ended.
	maxNameBytes = 256
	// defaultEndReason is recorded where the caller gives no reason.
	defaultEndReason = "ended by its caller"
)

// Program is the JSON form of a program.
type Program struct {
	ID       string `json:"id"`
	Object   string `json:"object"`
	Parent   string `json:"parent,omitempty"`
	Tenant   string `json:"tenant"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Priority uint32 `json:"priority"`
	// BudgetTokens is what the tree of programs may use in all.
	BudgetTokens uint64 `json:"budget_tokens"`
	// ReservedTokens is what the running calls use at most.
	ReservedTokens uint64 `json:"reserved_tokens"`
	SpentTokens    uint64 `json:"spent_tokens"`
	// NextSequence is the number that the next call must have.
	NextSequence  uint64 `json:"next_sequence"`
	Turns         uint64 `json:"turns"`
	HistoryTokens uint64 `json:"history_tokens"`
	Ended         bool   `json:"ended"`
	EndReason     string `json:"end_reason,omitempty"`
}

const objectProgram = "program"

func newProgram(view execution.ProgramView) Program {
	return Program{
		ID:             view.ID,
		Object:         objectProgram,
		Parent:         view.Parent,
		Tenant:         view.Tenant,
		Model:          view.Model,
		Adapter:        view.Adapter,
		Priority:       view.Priority,
		BudgetTokens:   view.BudgetTokens,
		ReservedTokens: view.ReservedTokens,
		SpentTokens:    view.SpentTokens,
		NextSequence:   view.NextSequence,
		Turns:          view.Turns,
		HistoryTokens:  view.HistoryTokens,
		Ended:          view.Ended,
		EndReason:      view.EndReason,
	}
}

func (h *Handler) createProgram(e *exchange) error {
	key, err := parseKey(e.request.Header)
	if err != nil {
		return err
	}
	e.key = key
	body, err := e.readBody()
	if err != nil {
		return err
	}
	request, err := parseProgramRequest(body)
	if err != nil {
		return err
	}
	request.Tenant = e.tenant
	request.Key = key
	view, err := h.options.Service.CreateProgram(e.detached, request)
	return e.answerProgram(http.StatusCreated, view, err)
}

func parseProgramRequest(body []byte) (execution.ProgramRequest, error) {
	fields, err := parseBody(body)
	if err != nil {
		return execution.ProgramRequest{}, err
	}
	fields.refuseOthers("model", "adapter", "budget_tokens", "priority", "idle_limit_ms", "turn_limit")
	fields.require("model")
	fields.require("budget_tokens")
	idle := fields.integer("idle_limit_ms", 1, uint64(maxIdleLimit/time.Millisecond))
	request := execution.ProgramRequest{
		Model:        fields.shortText("model"),
		Adapter:      fields.shortText("adapter"),
		BudgetTokens: fields.integer("budget_tokens", 1, math.MaxInt64),
		Priority:     uint32(fields.integer("priority", 0, math.MaxInt32)),
		IdleLimit:    time.Duration(idle) * time.Millisecond,
		TurnLimit:    uint32(fields.integer("turn_limit", 1, math.MaxInt32)),
	}
	return request, fields.err
}

// shortText reads a name of 1 to maxNameBytes bytes; an absent one is empty.
func (o *object) shortText(name string) string {
	text := o.text(name)
	if _, given := o.value(name); given && (text == "" || len(text) > maxNameBytes) {
		o.fail(name, "1 to %d bytes are wanted, found %d", maxNameBytes, len(text))
	}
	return text
}

func (h *Handler) createChild(e *exchange) error {
	key, err := parseKey(e.request.Header)
	if err != nil {
		return err
	}
	e.key = key
	body, err := e.readBody()
	if err != nil {
		return err
	}
	if err := parseChildRequest(body); err != nil {
		return err
	}
	view, err := h.options.Service.CreateChild(e.detached, execution.ChildRequest{Tenant: e.tenant, Parent: e.program, Key: key})
	return e.answerProgram(http.StatusCreated, view, err)
}

// parseChildRequest checks the body of a request for a child program: it is empty
// or an object without fields, since a child takes everything from its parent.
func parseChildRequest(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	fields, err := parseBody(body)
	if err != nil {
		return err
	}
	fields.refuseOthers()
	return fields.err
}

func (h *Handler) readProgram(e *exchange) error {
	view, err := h.options.Service.ReadProgram(e.request.Context(), e.tenant, e.program)
	return e.answerProgram(http.StatusOK, view, err)
}

func (h *Handler) endProgram(e *exchange) error {
	reason := e.request.URL.Query().Get("reason")
	if len(reason) > maxNameBytes {
		return result.Errorf(result.BadRequest, "query parameter reason: at most %d bytes are wanted, found %d", maxNameBytes, len(reason))
	}
	if reason == "" {
		reason = defaultEndReason
	}
	view, err := h.options.Service.EndProgram(e.detached, e.tenant, e.program, reason)
	return e.answerProgram(http.StatusOK, view, err)
}

// answerProgram answers with the program unless there is an error.
func (e *exchange) answerProgram(status int, view execution.ProgramView, err error) error {
	if err != nil {
		return err
	}
	e.program = view.ID
	header := e.writer.Header()
	header.Set(HeaderResult, resultNumber(result.OK))
	if status == http.StatusCreated {
		header.Set("Location", "/v1/programs/"+url.PathEscape(view.ID))
	}
	e.writeJSON(status, newProgram(view))
	return nil
}
