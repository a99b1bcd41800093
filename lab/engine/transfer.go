package engine

import "time"

// Export is the context of one program, ready to be put into another engine.
type Export struct {
	Model   Loaded    `json:"model"`
	Adapter Loaded    `json:"adapter"`
	Path    []Segment `json:"path"`
	Tokens  int       `json:"tokens"`
}

// Export copies the held context of a program. The copy is complete after the
// duration that comes with it; the context stays held here.
func (c *Core) Export(now time.Duration, program string) (Export, time.Duration, error) {
	c.run(now)
	context := c.holds[program]
	if context == nil {
		return Export{}, 0, &Refusal{Reason: NotHeld}
	}
	last := context.node
	if last.kept < last.blocks() {
		last = last.parent
	}
	if last == nil {
		return Export{}, 0, &Refusal{Reason: NotHeld}
	}
	exported := Export{Model: context.root.model, Adapter: context.root.adapter, Tokens: last.end}
	for n := last; n != nil; n = n.parent {
		exported.Path = append(exported.Path, n.segment)
	}
	for i, j := 0, len(exported.Path)-1; i < j; i, j = i+1, j-1 {
		exported.Path[i], exported.Path[j] = exported.Path[j], exported.Path[i]
	}
	return exported, c.transferTime(exported.Tokens), nil
}

// Import begins to take in the context of a program. An event of kind Imported
// tells when it is held. A Release in between lets it arrive without a hold.
func (c *Core) Import(now time.Duration, id uint64, program string, exported Export) error {
	c.run(now)
	root, refused := c.rootOf(exported.Model.Name, exported.Adapter.Name)
	if refused != nil {
		return refused
	}
	tokens := pathLength(exported.Path)
	switch {
	case tokens < 0:
		return &Refusal{Reason: Invalid}
	case c.jobs[id] != nil:
		return &Refusal{Reason: InUse}
	case c.leaving:
		return &Refusal{Reason: IsLeaving, RetryAfter: leavingRetry}
	case tokens == 0:
		return &Refusal{Reason: Invalid}
	case root.model != exported.Model || root.adapter != exported.Adapter:
		return &Refusal{Reason: NotLoaded}
	}
	memory, cached, ok := c.cache.acquire(root.key(), exported.Path, tokens, tokens)
	if !ok {
		return &Refusal{Reason: IsFull, RetryAfter: c.drainTime()}
	}
	c.sequence++
	added := &job{
		Request:      Request{ID: id, Program: program, Path: exported.Path, Hold: true},
		root:         root,
		rootKey:      root.key(),
		stage:        importing,
		sequence:     c.sequence,
		promptTokens: tokens,
		memory:       memory,
		rank:         float64(c.now + c.transferTime(tokens-cached)),
	}
	c.jobs[id] = added
	c.transfers.add(added)
	return nil
}

// pathLength is the number of tokens of a path, or -1 where a segment's is
// negative.
func pathLength(path []Segment) int {
	tokens := 0
	for _, segment := range path {
		if segment.Tokens < 0 {
			return -1
		}
		tokens += segment.Tokens
	}
	return tokens
}

// transferTime is how long it takes to move tokens of context.
func (c *Core) transferTime(tokens int) time.Duration {
	seconds := float64(tokens) / c.options.Generation.TransferRate * c.slowdown
	return time.Duration(seconds * float64(time.Second))
}

func (c *Core) finishTransfers() {
	for {
		head := c.transfers.head()
		if head == nil || time.Duration(head.rank) > c.now {
			return
		}
		c.transfers.remove(head)
		c.cache.commit(&head.memory, head.rootKey, head.Path, head.Program)
		c.keep(head)
		c.cache.giveBack(head.memory)
		delete(c.jobs, head.ID)
		c.emit(Event{Kind: Imported, ID: head.ID, Program: head.Program, Usage: c.usage(head, 0)})
	}
}
