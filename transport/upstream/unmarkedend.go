package upstream

import "errors"

var errRequestNotWritten = errors.New("the connection ended before the request was written")

// confirmEnd returns an error unless the end of the connection may be that of the body. A reset is
// reported once: if it ends the writing of the request, the reader gets an orderly end.
func (e *exchange) confirmEnd() error {
	if !e.wasWritten() {
		return errRequestNotWritten
	}
	return nil
}
