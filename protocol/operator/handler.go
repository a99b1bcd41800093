package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/result"
)

// Path is where the API takes statements.
const Path = "/v1/operator"

// maxBodyBytes bounds a request's body: four times the longest statement, since JSON
// makes it longer.
const maxBodyBytes = 64 << 10

// defaultRetryAfter is the pause that an operator is asked for where an error allows
// another try and names no pause.
const defaultRetryAfter = time.Second

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error; docs/RESULT-CODES.md lists the codes.
type ErrorDetail struct {
	result.Detail
	// Column is the place of a syntax error in characters, from 1; zero for any
	// other error.
	Column int `json:"column,omitempty"`
	// Caret shows the text of a syntax error with a mark below the place.
	Caret string `json:"caret,omitempty"`
}

// Handler serves the operators' HTTP API.
type Handler struct {
	interpreter *Interpreter
	logger      *zap.Logger
}

// NewHandler makes the handler, which belongs at Path.
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
	answer := failure.Response(defaultRetryAfter)
	detail := ErrorDetail{Detail: answer.Body.Error}
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		detail.Column = syntax.Column
		detail.Caret = syntax.Caret()
	}
	answer.SetRetryAfter(writer.Header())
	h.write(writer, answer.Status, ErrorBody{Error: detail})
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
