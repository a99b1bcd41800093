package callerapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/result"
)

// exchange is one request and its answer, with what the log line says of them.
type exchange struct {
	handler   *Handler
	writer    http.ResponseWriter
	control   *http.ResponseController
	request   *http.Request
	operation string
	arrived   time.Time

	tenant  string
	program string
	// key is the idempotency key that the caller gave; empty for none.
	key   string
	start execution.Start
	// code is the result that the caller was told, or would have been told
	// where its connection was lost.
	code result.Code
	// cause is the error behind the code, for the log.
	cause error
	// firstToken is the time from the arrival to the first text; zero before.
	firstToken time.Duration
	// answered is set once the header of the answer has been written.
	answered bool
	// stream is set while the answer is a stream.
	stream *stream
	// lost is set once the caller's connection is lost.
	lost bool

	// detached doesn't end with the caller's connection: what was begun for a caller
	// runs to its end, and a repeat with the same idempotency key finds the outcome.
	detached context.Context
	cancel   context.CancelCauseFunc

	// deadlines guards the fields below and the deadlines of the connection.
	deadlines sync.Mutex
	// cutBy is when the answer has to be written after a cut; zero without one.
	cutBy time.Time
	// reading is set while the body is read.
	reading bool
}

func (h *Handler) newExchange(operation string, writer http.ResponseWriter, request *http.Request) *exchange {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(request.Context()))
	return &exchange{
		detached:  detached,
		cancel:    cancel,
		handler:   h,
		writer:    writer,
		control:   http.NewResponseController(writer),
		request:   request,
		operation: operation,
		arrived:   h.options.Now(),
		program:   request.PathValue("id"),
	}
}

func (e *exchange) authenticate(tenants Tenants) error {
	scheme, key, _ := strings.Cut(e.request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return e.refuseKey("the header Authorization must be: Bearer KEY")
	}
	tenant, found := tenants.TenantOf(strings.TrimSpace(key))
	if !found {
		return e.refuseKey("no tenant has this key")
	}
	e.tenant = tenant
	return nil
}

func (e *exchange) refuseKey(message string) error {
	e.writer.Header().Set("WWW-Authenticate", "Bearer")
	return result.Errorf(result.Unauthenticated, "%s", message)
}

// protect turns a panic of the operation into an error, so that the caller is
// told and the count of requests in flight stays right.
func (e *exchange) protect(serve operation) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = merry.Errorf("panic: %v\n%s", reason, debug.Stack())
		}
	}()
	return serve(e)
}

// readBody returns the whole request body.
func (e *exchange) readBody() ([]byte, error) {
	options := &e.handler.options
	limit := options.BodyLimit
	if e.request.ContentLength > limit {
		e.writer.Header().Set("Connection", "close")
		return nil, result.Errorf(result.TooLarge, "the body has %d bytes of at most %d", e.request.ContentLength, limit)
	}
	e.beginReading()
	defer e.endReading()
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.TooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		e.writer.Header().Set("Connection", "close")
		if e.isCut() {
			return nil, Unrecorded(errDraining(), e.request.Header)
		}
		return nil, result.Errorf(result.BadRequest, "the body couldn't be read to its end: %v", err)
	}
	return body, nil
}

// fail tells the caller of an error: by an answer of its own, or by an event where
// a stream has begun.
func (e *exchange) fail(err error) {
	failure := asResult(err)
	if failure.Code == result.NoQuorum {
		failure = Unrecorded(failure, e.request.Header)
	}
	e.code = failure.Code
	e.cause = err
	if e.stream != nil && e.answered {
		e.stream.fail(failure.Response(e.handler.options.RetryAfter).Body)
		return
	}
	if e.answered {
		return
	}
	e.writeError(failure)
}

// finish writes the log line and the metrics.
func (e *exchange) finish() {
	e.clearWriteDeadline()
	duration := e.handler.options.Now().Sub(e.arrived)
	e.handler.options.Observer.Observe(Observation{
		Operation:      e.operation,
		Code:           e.code,
		Duration:       duration,
		FirstToken:     e.firstToken,
		ConnectionLost: e.lost,
	})
	fields := []zap.Field{
		zap.String("operation", e.operation),
		zap.Uint32("code", uint32(e.code)),
		zap.Stringer("result", e.code),
		zap.String("tenant", e.tenant),
		zap.String("program", e.program),
		zap.Duration("duration", duration),
		zap.String("remote", e.request.RemoteAddr),
	}
	if e.start.Sequence != 0 {
		fields = append(fields,
			zap.Uint64("sequence", e.start.Sequence),
			zap.Uint32("attempt", e.start.Attempt),
			zap.String("engine", e.start.Engine),
			zap.Bool("replayed", e.start.Replayed),
			zap.Duration("first_token", e.firstToken))
	}
	if e.lost {
		fields = append(fields, zap.Bool("connection_lost", true))
	}
	if e.cause != nil {
		fields = append(fields, zap.String("error", e.cause.Error()))
	}
	if e.code == result.Internal {
		e.handler.options.Logger.Error("request ended", fields...)
		return
	}
	e.handler.options.Logger.Info("request ended", fields...)
}
