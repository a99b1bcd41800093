// Package engineapi is the client of the model engines: chat completions in
// the OpenAI dialect, always streamed, with the additions that
// docs/ARCHITECTURE.md lists under "Engine dialect".
//
// It owns the types of that dialect, which the stand-in engine of the lab uses as
// well, so that both speak the same one. It keeps no state, retries nothing and
// relies on an HTTP client that is passed in.
//
// A completion without an error is whole: every chunk carried the id of the
// request, a finish reason and the usage came, and the stream reached its end
// mark. Everything else is an *Error, whose Kind says what happened and whose
// Dispatched says whether the engine may have run the request.
package engineapi
