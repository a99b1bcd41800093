package relay

import (
	"context"
	"net/http"

	"github.com/marblering/marblering/coordination/numbering"
	"github.com/marblering/marblering/transport/upstream"
)

// eventWriter passes the events of one stream of a backend on to the client.
type eventWriter struct {
	call       *call
	response   *upstream.Response
	attempt    *attempt
	controller *http.ResponseController
	comments   comments
	// held is an event until the next one shows whether it follows the client's last event; nil for
	// none.
	held *event
}

// deliver passes on an event after the comments that were held, if it follows the last one.
func (w *eventWriter) deliver(ctx context.Context, next event) (outcome, error) {
	w.attempt.noteReceived(next)
	order := &w.call.response.order
	if w.held != nil {
		if !next.isCounted() {
			return w.holdMore(next)
		}
		if err := order.settleHeld(*w.held, next); err != nil {
			return incomplete, err
		}
		if ended, err := w.passHeld(ctx); err != nil {
			return ended, err
		}
	}
	verdict, err := order.check(next)
	if err != nil {
		return incomplete, err
	}
	if verdict == numbering.Unknown {
		w.held = &next
		return delivered, nil
	}
	return w.pass(ctx, next)
}

// holdMore holds what comes behind a held event.
func (w *eventWriter) holdMore(block event) (outcome, error) {
	w.held.raw = append(w.held.raw, block.raw...)
	if len(w.held.raw) > maxEventBytes {
		return incomplete, w.call.response.order.missingBefore(*w.held)
	}
	return delivered, nil
}

// end passes on the event that is held at the end of the stream, if it may follow the last one.
func (w *eventWriter) end(ctx context.Context) (outcome, error) {
	if w.held == nil {
		return delivered, nil
	}
	if err := w.call.response.order.settleLast(*w.held); err != nil {
		return incomplete, err
	}
	return w.passHeld(ctx)
}

func (w *eventWriter) passHeld(ctx context.Context) (outcome, error) {
	held := *w.held
	w.held = nil
	return w.pass(ctx, held)
}

// pass passes on an event that follows the last one. The origin of the stream is fixed by its first event.
func (w *eventWriter) pass(ctx context.Context, next event) (outcome, error) {
	if err := w.call.fixOrigin(ctx, w.attempt); err != nil {
		return incomplete, err
	}
	if err := w.call.countEvent(next); err != nil {
		return incomplete, err
	}
	w.call.writeStreamHeader(w.response)
	raw := next.raw
	if comments := w.comments.take(); len(comments) > 0 {
		raw = append(comments, raw...)
	}
	if err := w.write(raw); err != nil {
		return abandoned, err
	}
	if next.isCounted() {
		w.noteGap(next)
		w.attempt.passed.add(next.id)
	}
	w.call.response.order.add(next)
	return delivered, nil
}

// noteGap logs and counts a gap before an event.
func (w *eventWriter) noteGap(next event) {
	if gap, found := w.call.response.order.gapBefore(next); found {
		w.attempt.passed.addGap(gap)
		w.call.handler.options.Metrics.gaps.WithLabelValues(string(gap.place)).Inc()
	}
}

// deliverComment passes on a comment if the header was written, and holds it otherwise.
func (w *eventWriter) deliverComment(comment event) (outcome, error) {
	if w.held != nil {
		return w.holdMore(comment)
	}
	if err := w.comments.add(comment, w.call.response.headerWritten); err != nil {
		return incomplete, err
	}
	if !w.call.response.headerWritten {
		return delivered, nil
	}
	if err := w.write(comment.raw); err != nil {
		return abandoned, err
	}
	return delivered, nil
}

// write writes and flushes, so that events don't wait for later ones.
func (w *eventWriter) write(raw []byte) error {
	if _, err := w.call.writer.Write(raw); err != nil {
		return err
	}
	return w.controller.Flush()
}
