package engine

import (
	"math"
	"time"
)

// Load is what an engine reports about itself, as it was at instant Sampled.
type Load struct {
	Sampled time.Duration
	Running int
	Waiting int
	// OutstandingTokens is what is left to prefill and to decode.
	OutstandingTokens int
	// CacheUsedTokens is the memory of running requests and of held contexts;
	// the rest of the limit is free or can be evicted.
	CacheUsedTokens  int
	CacheLimitTokens int
	// PrefillRate and DecodeRate were measured: prompt tokens per second of
	// prefill, and tokens per second of each decoding sequence.
	PrefillRate float64
	DecodeRate  float64
}

// meter samples the load at multiples of the lag.
type meter struct {
	published Load

	prefillTokens, prefillSeconds float64
	decodeTokens, decodeSeconds   float64
}

func (m *meter) start(c *Core) {
	m.published = c.load(Load{})
	m.published.DecodeRate, _ = c.profile.rates(1, false)
	m.published.PrefillRate = c.profile.PrefillRate
}

// due returns the latest instant up to now at which the load is sampled, and
// whether that is yet to be done.
func (m *meter) due(now, lag time.Duration) (time.Duration, bool) {
	at := now / lag * lag
	return at, at > m.published.Sampled
}

// sample publishes the present load. Speeds are those since the last sample; one
// that wasn't seen stays as it was.
func (m *meter) sample(c *Core) {
	m.published = c.load(m.published)
	if m.prefillSeconds > 0 {
		m.published.PrefillRate = m.prefillTokens / m.prefillSeconds
	}
	if m.decodeSeconds > 0 {
		m.published.DecodeRate = m.decodeTokens / m.decodeSeconds
	}
	m.prefillTokens, m.prefillSeconds = 0, 0
	m.decodeTokens, m.decodeSeconds = 0, 0
}

func (m *meter) prefill(tokens, seconds float64) {
	m.prefillTokens += tokens
	m.prefillSeconds += seconds
}

func (m *meter) decode(tokens, seconds float64) {
	m.decodeTokens += tokens
	m.decodeSeconds += seconds
}

// Load returns the engine's load as it was up to LoadLag ago.
func (c *Core) Load(now time.Duration) Load {
	c.run(now)
	return c.meter.published
}

// load returns the present load, with the rates of an earlier one.
func (c *Core) load(earlier Load) Load {
	earlier.Sampled = c.now
	earlier.Running = c.prefills.Len() + c.decodes.Len()
	earlier.Waiting = c.waiting.Len()
	earlier.OutstandingTokens = c.outstanding()
	earlier.CacheUsedTokens = (c.cache.private + c.cache.locked + c.cache.held) * BlockTokens
	earlier.CacheLimitTokens = c.cache.limit * BlockTokens
	return earlier
}

func (c *Core) outstanding() int {
	tokens := 0
	for _, j := range c.waiting.jobs {
		tokens += j.promptTokens + j.OutputTokens
	}
	for _, j := range c.prefills.jobs {
		tokens += int(math.Ceil(j.remaining)) + j.OutputTokens
	}
	for _, j := range c.decodes.jobs {
		tokens += j.OutputTokens - c.produced(j)
	}
	return tokens
}

// drainTime estimates how long the work in hand takes.
func (c *Core) drainTime() time.Duration {
	seconds := float64(c.outstanding()) / c.profile.PrefillRate * c.slowdown
	return max(leavingRetry, time.Duration(seconds*float64(time.Second)))
}
