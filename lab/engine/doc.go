// Package engine is a stand-in for a model engine. It speaks the engine dialect
// of docs/ARCHITECTURE.md over HTTP and answers with text that depends on its
// seed and the messages alone, so that a test can tell which answer is right.
package engine
