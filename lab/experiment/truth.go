package experiment

import (
	"github.com/marblering/marblering/lab/engine"
)

// cacheTruth is exactly what an engine has cached. Measurements use it;
// policies never see it.
type cacheTruth struct {
	programs map[string]int
	// prefixes are the shared system prompts, by the id of their segment.
	prefixes map[uint64]int
	// opened is the system prompt that each program begins with.
	opened map[string]engine.Segment
}

func newCacheTruth() *cacheTruth {
	return &cacheTruth{
		programs: make(map[string]int),
		prefixes: make(map[uint64]int),
		opened:   make(map[string]engine.Segment),
	}
}

// observe takes in a cache event: the prefix that is cached after it.
func (c *cacheTruth) observe(event engine.CacheEvent) {
	c.programs[event.Program] = event.Tokens
	shared, known := c.opened[event.Program]
	if known && event.Tokens < wholeBlocks(shared.Tokens) {
		delete(c.prefixes, shared.ID)
	}
	if event.Tokens == 0 {
		delete(c.programs, event.Program)
	}
}

// prefilled notes that the prompt of a program is cached now.
func (c *cacheTruth) prefilled(program string, path []engine.Segment) {
	c.opened[program] = path[0]
	c.prefixes[path[0].ID] = wholeBlocks(path[0].Tokens)
	c.programs[program] = wholeBlocks(pathTokens(path))
}

// imported notes that context of a program has arrived.
func (c *cacheTruth) imported(program string, path []engine.Segment, tokens int) {
	c.opened[program] = path[0]
	c.prefixes[path[0].ID] = wholeBlocks(path[0].Tokens)
	c.programs[program] = wholeBlocks(tokens)
}

// has returns how many tokens of a prompt are cached. The last token is always
// computed, so a whole prompt is never cached.
func (c *cacheTruth) has(program string, path []engine.Segment) int {
	own := c.programs[program]
	if shared := c.prefixes[path[0].ID]; shared >= own || own <= wholeBlocks(path[0].Tokens) {
		own = shared
	}
	return min(own, wholeBlocks(pathTokens(path)-1))
}

func wholeBlocks(tokens int) int { return tokens / engine.BlockTokens * engine.BlockTokens }

func pathTokens(path []engine.Segment) int {
	tokens := 0
	for _, segment := range path {
		tokens += segment.Tokens
	}
	return tokens
}
