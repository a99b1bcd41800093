package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/result"
)

// Path is where the API takes statements.
const Path = "/v1/operator"

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 64 << 10

// defaultRetryAfter is advised where a result says "later" without a time.
const defaultRetryAfter = time.Second

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error; docs/RESULT-CODES.md lists the codes.
type ErrorDetail struct {
	Code              result.Code      `json:"code"`
	Type              string           `json:"type"`
	Message           string           `json:"message"`
	Execution         result.Execution `json:"execution"`
	Repeat            result.Repeat    `json:"repeat"`
	RetryAfterSeconds int64            `json:"retry_after_seconds,omitempty"`
	// Column and Caret are set for a syntax error: the place in characters from
	// 1, and the text with a mark below it.
	Column int    `json:"column,omitempty"`
	Caret  string `json:"caret,omitempty"`
}

// Handler serves the operators' HTTP API.
type Handler struct {
	interpreter *Interpreter
	logger      *zap.Logger
}

// NewHandler makes the handler; it is to be mounted at Path.
func NewHandler(interpreter *Interpreter) *Handler {
	return &Handler{interpreter: interpreter, logger: interpreter.options.Logger}
}

// ServeHTTP answers one statement.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		h.writeError(writer, result.Errorf(result.UnknownPath, "%s %s: allowed: POST", request.Method, request.URL.Path))
		return
	}
	statement, err := readRequest(writer, request)
	if err != nil {
		h.writeError(writer, err)
		return
	}
	answer, err := h.interpreter.Run(request.Context(), statement)
	if err != nil {
		h.writeError(writer, err)
		return
	}
	h.write(writer, http.StatusOK, answer)
}

func readRequest(writer http.ResponseWriter, request *http.Request) (Request, error) {
	var statement Request
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&statement)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return statement, result.Errorf(result.TooLarge, "the body exceeds %d bytes", maxBodyBytes)
	case err != nil:
		return statement, result.Errorf(result.BadRequest, "the body isn't a statement: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return statement, result.Errorf(result.BadRequest, "the body has text after the statement")
	}
	return statement, nil
}

func (h *Handler) writeError(writer http.ResponseWriter, err error) {
	failure := asResult(err)
	if failure.Code == result.Internal {
		h.logger.Error("operator request failed", zap.Error(err))
	}
	detail := describe(failure)
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		detail.Column = syntax.Column
		detail.Caret = syntax.Caret()
	}
	if detail.RetryAfterSeconds > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(detail.RetryAfterSeconds, 10))
	}
	h.write(writer, failure.Code.Info().HTTP, ErrorBody{Error: detail})
}

func describe(failure *result.Error) ErrorDetail {
	info := failure.Code.Info()
	pause := failure.RetryAfter
	if pause <= 0 && info.Repeat != result.RepeatNever {
		pause = defaultRetryAfter
	}
	return ErrorDetail{
		Code:              failure.Code,
		Type:              info.Name,
		Message:           failure.Message,
		Execution:         info.Execution,
		Repeat:            info.Repeat,
		RetryAfterSeconds: int64((pause + time.Second - 1) / time.Second),
	}
}

func (h *Handler) write(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		h.logger.Debug("operator answer not delivered", zap.Error(err))
	}
}
