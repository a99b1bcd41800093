// Package backend knows the running instances of each service and chooses one for a
// request: the one that most likely has the request's context in memory, unless it
// carries too much of this node's work, fails, says nothing, or is leaving.
//
// It owns what this node knows of each instance: the requests that it has there, how
// these ended, and whether it is left out because of that. The set of instances is given
// to it as a whole (Pool.Replace) and is read without locks by requests. It makes no
// connections: whoever sends the requests says how they ended (Ending).
//
// It relies on package coordination/limit to tell instances that serve worse than the
// others of their service.
//
// The rules are functions without I/O: what an instance may be used for (standing.go),
// which one a request goes to (choose.go), when one counts as silent (health.go), when
// one is left out (ejection.go), which entries have lapsed (lapse.go), and which of two
// entries names the newer life (life.go).
package backend
