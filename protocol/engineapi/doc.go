// Package engineapi is the client of the model engines: chat completions in
// the OpenAI dialect, always streamed, with the additions that
// docs/ARCHITECTURE.md lists under "Engine dialect". The wire types are
// exported, so that the stand-in engine speaks exactly the same dialect.
//
// A completion is returned only when it is whole: every chunk carried the id
// of the request, a finish reason and the usage came, and the stream was
// terminated. Everything else is an *Error whose Kind says what happened and
// whose Dispatched says whether the engine may have run the request.
package engineapi
