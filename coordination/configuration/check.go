package configuration

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the values that objects may hold, so that a slip of an operator is refused
// rather than put in force.
const (
	maxWeight            = 1000.0
	maxContextTokens     = 100_000_000
	maxRequestBytes      = 256 << 20
	maxDeadline          = Duration(24 * time.Hour)
	maxIdleLimit         = Duration(30 * 24 * time.Hour)
	maxTurnLimit         = 1_000_000
	maxAttempts          = 10
	maxShardCount        = 65_536
	maxReplicationFactor = 9
)

func (t *Tenant) check(c *checker) {
	for index, digest := range t.APIKeySHA256 {
		field := fmt.Sprintf("api_key_sha256[%d]", index)
		if !digestPattern.MatchString(digest) {
			c.add(field, "%q isn't a digest; allowed: 64 hexadecimal digits in lower case", digest)
		}
	}
	between(c, "weight", t.Weight, 1/maxWeight, maxWeight)
}

func (m *Model) check(c *checker) {
	between(c, "context_tokens", m.ContextTokens, 1, maxContextTokens)
	between(c, "default_max_tokens", m.DefaultMaxTokens, 1, max(1, m.ContextTokens))
}

func (a *Adapter) check(c *checker) {
	c.name("model", a.Model)
}

func (p *Pool) check(c *checker) {
	c.names("zones", p.Zones)
	c.names("models", p.Models)
	if len(p.Roles) == 0 {
		c.add("roles", "is empty; allowed: one role or more")
	}
	for index, role := range p.Roles {
		c.role(fmt.Sprintf("roles[%d]", index), role)
	}
}

func (e *Engine) check(c *checker) {
	c.httpAddress("address", e.Address)
	c.name("zone", e.Zone)
	c.name("generation", e.Generation)
	c.name("pool", e.Pool)
	c.names("models", e.Models)
	c.optionalNames("adapters", e.Adapters)
	c.role("role", e.Role)
}

func (n *Node) check(*checker) {}

func (w *Weights) check(c *checker) {
	between(c, "latency", w.Latency, 0, maxWeight)
	between(c, "wasted_cache", w.WastedCache, 0, maxWeight)
	if w.Latency == 0 && w.WastedCache == 0 {
		c.add("latency", "is 0 as wasted_cache is; allowed: at least one of them above 0")
	}
}

func (l *Limits) check(c *checker) {
	between(c, "max_request_bytes", l.MaxRequestBytes, 1024, maxRequestBytes)
	between(c, "default_deadline", l.DefaultDeadline, Duration(time.Millisecond), maxDeadline)
	between(c, "default_idle_limit", l.DefaultIdleLimit, Duration(time.Second), maxIdleLimit)
	between(c, "default_turn_limit", l.DefaultTurnLimit, 1, maxTurnLimit)
	between(c, "max_attempts", l.MaxAttempts, 1, maxAttempts)
}

func (s *ShardMap) check(c *checker) {
	between(c, "shard_count", s.ShardCount, 1, maxShardCount)
	between(c, "replication_factor", s.ReplicationFactor, 1, maxReplicationFactor)
	if len(s.Members) != int(s.ShardCount) {
		c.add("members", "has %d replica sets; allowed: one for each of the %d shards", len(s.Members), s.ShardCount)
	}
	for shard, members := range s.Members {
		s.checkSet(c, fmt.Sprintf("members[%d]", shard), members)
	}
}

func (s *ShardMap) checkSet(c *checker, field string, members []Member) {
	if len(members) != int(s.ReplicationFactor) {
		c.add(field, "has %d members; allowed: replication_factor, %d", len(members), s.ReplicationFactor)
	}
	for index, member := range members {
		path := fmt.Sprintf("%s[%d]", field, index)
		c.name(path+".node", member.Node)
		c.name(path+".zone", member.Zone)
		c.hostPort(path+".address", member.Address)
		if member.Incarnation == "" {
			c.add(path+".incarnation", "is empty; allowed: the incarnation of the node")
		}
		sameNode := func(other Member) bool { return other.Node == member.Node }
		if slices.ContainsFunc(members[:index], sameNode) {
			c.add(path+".node", "%q stands twice; allowed: each node once in a replica set", member.Node)
		}
	}
}
