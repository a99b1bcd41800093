// Package objectstore is the stand-in for the platform's object API: versioned
// objects with conditional writes, a watch with a bounded log, and the lagging
// list of machines, in the dialect of docs/ARCHITECTURE.md. Switches at
// /control make it fail the way the real one does. It keeps everything in
// memory and is meant for tests and demonstrations only.
package objectstore
