// Package result defines the numbered result codes that callers and operators
// receive, and the HTTP response that reports an error.
//
// It holds the codes with their names, HTTP statuses and retry advice, and the
// JSON form of an error. A test checks that docs/RESULT-CODES.md has the same
// table. The package depends only on the standard library, so that every layer
// can import it.
package result

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result. The thousands digit gives the class:
//
//   - 1: the request is invalid;
//   - 2: the system can't serve the request now;
//   - 3: the request was or may have been run, and its response is incomplete;
//   - 4: an operator command failed;
//   - 5: an internal error.
type Code uint32

// Execution says whether the request was run.
type Execution string

// Values of Execution.
const (
	// Run means that the request was run.
	Run Execution = "run"
	// NotRun means that the request was definitely not run.
	NotRun Execution = "not run"
	// Unknown means that the request may have been run.
	Unknown Execution = "unknown"
)

// Repeat says whether and how a client may retry.
type Repeat string

// Values of Repeat.
const (
	// RepeatNever means that a retry is useless: the same request fails again.
	RepeatNever Repeat = "never"
	// RepeatNewKey means that the request may be retried after Retry-After with a
	// new idempotency key; the old key keeps returning the refusal.
	RepeatNewKey Repeat = "new key, after Retry-After"
	// RepeatSameKey means that a retry with the same idempotency key returns the
	// outcome of the request.
	RepeatSameKey Repeat = "same key, after Retry-After"
)

// Result codes. Numbers are never reused.
const (
	OK Code = 0

	BadRequest        Code = 1001
	TooLarge          Code = 1002
	Unauthenticated   Code = 1003
	UnknownProgram    Code = 1004
	ForeignProgram    Code = 1005
	UnknownModel      Code = 1006
	ProgramEnded      Code = 1007
	SequenceOutOfTurn Code = 1008
	KeyConflict       Code = 1009
	BudgetExhausted   Code = 1010
	TurnLimit         Code = 1011
	DeadlineExceeded  Code = 1012
	UnknownPath       Code = 1013
	CallInProgress    Code = 1014
	ContextTooLong    Code = 1015
	UnknownRoute      Code = 1016
	HeaderTooLarge    Code = 1017
	BodyTimeout       Code = 1018
	UnknownTurn       Code = 1019
	// StreamVersionGone and StreamOriginUnknown tell a client that resumes a stream to
	// begin it anew.
	StreamVersionGone   Code = 1020
	StreamOriginUnknown Code = 1021
	// RequestQuarantined is for requests under which back ends have ended.
	RequestQuarantined Code = 1022

	Overloaded         Code = 2001
	TenantLimit        Code = 2002
	NoEngine           Code = 2003
	NoQuorum           Code = 2004
	Draining           Code = 2005
	NotReady           Code = 2006
	HistoryUnavailable Code = 2007
	BackendBusy        Code = 2008
	NoBackend          Code = 2009
	BudgetReserved     Code = 2010
	ConfigurationStale Code = 2011
	QuotaUnavailable   Code = 2012
	// SendsUnresolved is for requests of which the outcome of earlier sends isn't known yet.
	SendsUnresolved Code = 2013

	OutcomeUnknown    Code = 3001
	OutcomeUnresolved Code = 3002
	EngineFailed      Code = 3003
	ProgramStopped    Code = 3004
	BackendFailed     Code = 3005
	BackendTimeout    Code = 3006
	ClientGone        Code = 3007
	NodeStopped       Code = 3008

	SyntaxError          Code = 4001
	VersionConflict      Code = 4002
	PlatformUnavailable  Code = 4003
	CommandUnresolved    Code = 4004
	UnknownObject        Code = 4005
	InvalidConfiguration Code = 4006
	NotInForce           Code = 4007

	Internal Code = 5001
)

// Info describes one code.
type Info struct {
	Code Code
	// Name is the code's name on the wire, in logs and in metrics.
	Name string
	// HTTP is the HTTP status of responses with the code.
	HTTP      int
	Execution Execution
	Repeat    Repeat
	// Meaning is the description in docs/RESULT-CODES.md.
	Meaning string
}

// Table lists every code in ascending order.
var Table = []Info{
	{OK, "ok", http.StatusOK, Run, RepeatNever, "The request was run and the answer is whole."},
	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, RepeatNever, "The request is malformed; the message names the field."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, NotRun, RepeatNever, "The request body exceeds the size limit."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, RepeatNever, "No tenant has the key that was given."},
	{UnknownProgram, "unknown_program", http.StatusNotFound, NotRun, RepeatNever, "No program has this id."},
	{ForeignProgram, "foreign_program", http.StatusForbidden, NotRun, RepeatNever, "The program belongs to another tenant."},
	{UnknownModel, "unknown_model", http.StatusNotFound, NotRun, RepeatNever, "The configuration has no such model or adapter."},
	{ProgramEnded, "program_ended", http.StatusConflict, NotRun, RepeatNever, "The program has ended; the message gives the reason."},
	{SequenceOutOfTurn, "sequence_out_of_turn", http.StatusConflict, NotRun, RepeatNever, "The sequence number is not the program's next one."},
	{KeyConflict, "key_conflict", http.StatusUnprocessableEntity, NotRun, RepeatNever, "The idempotency key was used for a different request."},
	{BudgetExhausted, "budget_exhausted", http.StatusPaymentRequired, NotRun, RepeatNever, "The request doesn't fit in what is left of the program's budget."},
	{TurnLimit, "turn_limit", http.StatusConflict, NotRun, RepeatNever, "The program has taken all the turns it may take."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, NotRun, RepeatNewKey, "The deadline passed before the request was dispatched."},
	{UnknownPath, "unknown_path", http.StatusNotFound, NotRun, RepeatNever, "The API has no such path or method."},
	{CallInProgress, "call_in_progress", http.StatusConflict, NotRun, RepeatNewKey, "Another call of the same program is still running."},
	{ContextTooLong, "context_too_long", http.StatusBadRequest, NotRun, RepeatNever, "History, request and answer together exceed the model's context."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, NotRun, RepeatNever, "The configuration in force has no route for this host and path."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, RepeatNever, "The request's header exceeds the size limit."},
	{BodyTimeout, "body_timeout", http.StatusRequestTimeout, NotRun, RepeatNewKey, "The request's body didn't arrive in time."},
	{UnknownTurn, "unknown_turn", http.StatusNotFound, NotRun, RepeatNever, "The turn that this one goes on from isn't kept."},
	{StreamVersionGone, "stream_version_gone", http.StatusServiceUnavailable, NotRun, RepeatNever, "No back end of the software version that began the stream is left; begin it anew."},
	{StreamOriginUnknown, "stream_origin_unknown", http.StatusServiceUnavailable, NotRun, RepeatNever, "Nothing tells at which software version the stream began; begin it anew."},
	{RequestQuarantined, "request_quarantined", http.StatusServiceUnavailable, NotRun, RepeatNever, "Back ends have ended under this request, one after the other; it isn't sent to another one."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, NotRun, RepeatNewKey, "The engines can't serve the request in time."},
	{TenantLimit, "tenant_limit", http.StatusTooManyRequests, NotRun, RepeatNewKey, "The tenant has reached its limit."},
	{NoEngine, "no_engine", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "No engine that serves the model can be reached."},
	{NoQuorum, "no_quorum", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "Too few replicas of the program's record answer."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "This node is stopping; ask another one."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "This node has no configuration or shard map yet."},
	{HistoryUnavailable, "history_unavailable", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "Too few replicas of the program's history answer."},
	{BackendBusy, "backend_busy", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "Every back end that was asked refused the request."},
	{NoBackend, "no_backend", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "No back end of the service can be reached."},
	{BudgetReserved, "budget_reserved", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "The rest of the program's budget is reserved for turns at other nodes."},
	{ConfigurationStale, "configuration_stale", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "This node can't show that the caller's key hasn't been taken away."},
	{QuotaUnavailable, "quota_unavailable", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "Nobody who grants requests of the tenant's quota can be reached."},
	{SendsUnresolved, "sends_unresolved", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "Back ends may have ended under earlier tries of this request; whether they have isn't known yet."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, Unknown, RepeatNever, "A request that must not be repeated lost its executor after dispatch. Final: it isn't tried again."},
	{OutcomeUnresolved, "outcome_unresolved", http.StatusServiceUnavailable, Unknown, RepeatSameKey, "The record couldn't be read after a change; the same key finds out."},
	{EngineFailed, "engine_failed", http.StatusBadGateway, Run, RepeatNever, "Every attempt the call may have failed at an engine. Final."},
	{ProgramStopped, "program_stopped", http.StatusConflict, Unknown, RepeatNever, "The program was ended while the call was running. Final."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, Unknown, RepeatNever, "The request was sent to a back end and there is no whole answer."},
	{BackendTimeout, "backend_timeout", http.StatusGatewayTimeout, Unknown, RepeatNever, "The time of the request or of its route is over."},
	{ClientGone, "client_gone", http.StatusBadGateway, Unknown, RepeatNever, "The caller closed the connection; the code is only logged."},
	{NodeStopped, "node_stopped", http.StatusBadGateway, Unknown, RepeatNever, "The node stopped before the answer was whole."},
	{SyntaxError, "syntax_error", http.StatusBadRequest, NotRun, RepeatNever, "The operator's text can't be parsed; the message gives the column."},
	{VersionConflict, "version_conflict", http.StatusConflict, NotRun, RepeatNever, "The object has another version; the message gives it and who wrote it."},
	{PlatformUnavailable, "platform_unavailable", http.StatusServiceUnavailable, NotRun, RepeatNewKey, "The object API doesn't answer; nothing was changed."},
	{CommandUnresolved, "command_unresolved", http.StatusServiceUnavailable, Unknown, RepeatSameKey, "The object API's answer was lost and can't be read back; the same command id finds out."},
	{UnknownObject, "unknown_object", http.StatusNotFound, NotRun, RepeatNever, "No such object."},
	{InvalidConfiguration, "invalid_configuration", http.StatusUnprocessableEntity, NotRun, RepeatNever, "The configuration fails its checks; the message names the field."},
	{NotInForce, "not_in_force", http.StatusServiceUnavailable, Unknown, RepeatSameKey, "The object was written but a majority hasn't installed it yet; the same command id finds out."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, RepeatSameKey, "A fault of this program; the log has the details."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(Table))
	for _, info := range Table {
		index[info.Code] = info
	}
	return index
}

// Info returns the description of the code, or that of Internal if Table doesn't
// list the code.
func (c Code) Info() Info {
	info, found := byCode[c]
	if !found {
		return byCode[Internal]
	}
	return info
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// Error is a failure that is reported to a caller or operator.
type Error struct {
	Code Code
	// Message is shown to whoever sent the request.
	Message string
	// RetryAfter is the delay before a retry, or zero if the error sets none.
	RetryAfter time.Duration
	// Cause is what the error stems from, for logs and metrics. It is nil if it isn't known,
	// and never shown to whoever sent the request.
	Cause error
}

// Errorf returns an error with the code and a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error with the retry delay.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	delayed := *e
	delayed.RetryAfter = delay
	return &delayed
}

// WithCause returns a copy of the error with the cause.
func (e *Error) WithCause(cause error) *Error {
	caused := *e
	caused.Cause = cause
	return &caused
}

// FromError converts any error into one that may be shown to a caller or operator:
// the *Error that it wraps, unresolved if a context ended, since the outcome is then
// unknown, or else Internal without the text of err, which may be confidential.
func FromError(err error, unresolved *Error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return unresolved
	}
	return Errorf(Internal, "a fault of this program; the log has the details")
}

// Error returns the code, its name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
}
