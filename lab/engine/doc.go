// Package engine is a stand-in for a model engine that batches continuously.
//
// Core is the engine itself, without I/O: the discrete-event lab drives it
// directly, and Server drives it in scaled real time behind the HTTP dialect of
// docs/ARCHITECTURE.md.
//
// # Driving a Core
//
// Instants are durations since the engine's start and never go back; a call
// with an instant first processes everything that is due before it.
//
//	core := engine.NewCore(engine.CoreOptions{Generation: generation, Models: models})
//	err := core.Submit(now, engine.Request{ID: 1, Model: "m", Path: path, OutputTokens: 40})
//	for at, any := core.NextEvent(); any; at, any = core.NextEvent() {
//		for _, event := range core.Advance(at) {
//			// FirstToken, Finished, Imported, LoadStarted, LoadFinished
//		}
//	}
//
// Ask NextEvent again after every call that changes something (Submit, Cancel,
// Import, Order, FinishLoad, SetSlowdown): the next event may have moved. Submit
// returns a *Refusal or promises exactly one Finished event. An engine that
// crashes is modelled by dropping its Core and making a new one.
//
// A prompt is a path of segments (system prompt, message, answer, message...),
// each an opaque content id with a number of tokens. Requests share cached
// blocks up to the first segment in which their paths differ. A program's next
// turn has the path of the last one, then Segment{OutputID, OutputTokens} of
// its answer, then the new messages.
//
// # Model
//
// Decoding sequences advance together at a rate that depends on the batch;
// prefills run one after the other, in chunks beside the decodes. Between two
// events all rates are constant, so the work for a request is a few heap
// operations, whatever its number of tokens; see docs/design/engine-stand-in.md.
package engine
