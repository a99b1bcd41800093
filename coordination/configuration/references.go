package configuration

import (
	"fmt"
	"slices"
)

func (t *Tenant) checkReferences(c *checker, snapshot *Snapshot) {
	for index, digest := range t.APIKeySHA256 {
		other, found := snapshot.TenantByKey(digest)
		if found && other.Name != t.Name {
			reference := Key{Kind: KindTenant, Name: other.Name}
			field := fmt.Sprintf("api_key_sha256[%d]", index)
			c.addReference(reference, field, "is a key of %s too; allowed: a key of one tenant only", reference)
		}
	}
}

func (*Model) checkReferences(*checker, *Snapshot) {}

func (a *Adapter) checkReferences(c *checker, snapshot *Snapshot) {
	c.exists(snapshot, "model", KindModel, a.Model)
}

func (p *Pool) checkReferences(c *checker, snapshot *Snapshot) {
	for index, model := range p.Models {
		c.exists(snapshot, fmt.Sprintf("models[%d]", index), KindModel, model)
	}
}

func (e *Engine) checkReferences(c *checker, snapshot *Snapshot) {
	if c.exists(snapshot, "pool", KindPool, e.Pool) {
		pool, _ := snapshot.Pool(e.Pool)
		e.checkPool(c, pool)
	}
	for index, name := range e.Adapters {
		field := fmt.Sprintf("adapters[%d]", index)
		if !c.exists(snapshot, field, KindAdapter, name) {
			continue
		}
		adapter, _ := snapshot.Adapter(name)
		if !slices.Contains(e.Models, adapter.Model) {
			reference := Key{Kind: KindAdapter, Name: name}
			c.addReference(reference, field, "%q belongs to model %q; allowed: adapters of the engine's models %q", name, adapter.Model, e.Models)
		}
	}
}

// checkPool compares the engine with its pool.
func (e *Engine) checkPool(c *checker, pool *Pool) {
	reference := Key{Kind: KindPool, Name: pool.Name}
	if !slices.Contains(pool.Zones, e.Zone) {
		c.addReference(reference, "zone", "%q isn't a zone of %s; allowed: %q", e.Zone, reference, pool.Zones)
	}
	if !slices.Contains(pool.Roles, e.Role) {
		c.addReference(reference, "role", "%q isn't a role of %s; allowed: %q", e.Role, reference, pool.Roles)
	}
	for index, model := range e.Models {
		if !slices.Contains(pool.Models, model) {
			field := fmt.Sprintf("models[%d]", index)
			c.addReference(reference, field, "%q isn't a model of %s; allowed: %q", model, reference, pool.Models)
		}
	}
}

func (*Node) checkReferences(*checker, *Snapshot) {}

func (*Weights) checkReferences(*checker, *Snapshot) {}

func (*Limits) checkReferences(*checker, *Snapshot) {}

func (*ShardMap) checkReferences(*checker, *Snapshot) {}
