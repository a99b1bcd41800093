package routing

import (
	"time"
)

// Cached says that an engine has a prefix of a program's context.
type Cached struct {
	Engine string
	Tokens uint64
	// Shared is set where the prefix isn't held for the program itself, such as
	// a system prompt that many programs have. It can be used, but not moved.
	Shared bool
}

// Request is one call to be placed.
type Request struct {
	Program string
	// Root is the program at the top of the tree. Programs of one tree share
	// their subset of engines.
	Root    string
	Tenant  string
	Model   string
	Adapter string
	// Zone is where the deciding node stands.
	Zone string
	// Role is the engine role asked for; empty takes any but RoleStandby.
	Role string
	// HistoryTokens were in the program's context before this call.
	HistoryTokens uint64
	// NewTokens are added by this call.
	NewTokens uint64
	// OutputTokens is the expected length of the answer.
	OutputTokens uint64
	// AttainedTokens were served to the whole program tree so far.
	AttainedTokens uint64
	// Priority is the caller's class; smaller is served first.
	Priority uint32
	// Deadline is when the answer is of no more use; zero for never.
	Deadline time.Time
	// CachedOn lists the engines believed to have context of the program.
	CachedOn []Cached
	// Excluded names engines that were tried for this call already.
	Excluded []string
}

// PromptTokens is the length of the whole prompt.
func (r *Request) PromptTokens() uint64 { return r.HistoryTokens + r.NewTokens }

// cachedOn returns how much of the prompt the engine has.
func (r *Request) cachedOn(engine string) uint64 {
	for _, cached := range r.CachedOn {
		if cached.Engine == engine {
			return min(cached.Tokens, r.PromptTokens())
		}
	}
	return 0
}

// excludes says whether the engine was tried already.
func (r *Request) excludes(engine string) bool {
	for _, excluded := range r.Excluded {
		if excluded == engine {
			return true
		}
	}
	return false
}
