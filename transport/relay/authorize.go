package relay

import (
	"time"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
)

// Proof tells how fresh the table in force is.
type Proof interface {
	// Staleness is how long ago the store is known to have had no newer table than
	// the one in force; ok is false where that was never known.
	Staleness() (staleness time.Duration, ok bool)
	// Limit is the greatest staleness with which a key may be taken for valid; zero
	// for any.
	Limit() time.Duration
	// Source names from whom the proof came, for logs.
	Source() string
}

// authorize finds the tenant whose key the caller showed. It is asked at the arrival
// of a request, before its body is read, and again whenever the request is about to
// leave for a back end: it may have waited, the process may have stood still, and the
// key may have been taken away meanwhile.
func (c *call) authorize() *result.Error {
	if !c.basis.needsKey {
		return nil
	}
	if failure := c.checkProof(); failure != nil {
		return failure
	}
	// The table comes after the proof: it is at least as new, however long the process
	// stands still in between.
	table := c.handler.options.Tables.Table()
	owner, known := table.Tenant(c.asked.key)
	if !known {
		return c.unknownKey(table)
	}
	c.granted.tenant = owner
	return nil
}

// unknownKey refuses for good only where no newer configuration can have the key.
func (c *call) unknownKey(table *routetable.Table) *result.Error {
	if c.handler.options.Certain() {
		return result.Errorf(result.Unauthenticated, "version %d has no tenant with this key", table.Version())
	}
	return result.Errorf(result.NotReady, "the key is unknown, and the configuration may be out of date").After(retryPause)
}

// checkProof refuses where a key that is valid by the table in force may have been
// taken away longer ago than is allowed.
func (c *call) checkProof() *result.Error {
	proof := c.handler.options.Proof
	if proof == nil || proof.Limit() == 0 {
		return nil
	}
	staleness, known := proof.Staleness()
	switch {
	case !known:
		return result.Errorf(result.ConfigurationStale, "nothing shows yet that the configuration is the newest").After(startPause)
	case staleness > proof.Limit():
		return result.Errorf(result.ConfigurationStale, "the configuration was last known to be the newest %s ago, through %s",
			staleness.Round(time.Millisecond), proof.Source()).After(startPause)
	}
	return nil
}

// reauthorize is authorize for a request that is about to leave. What is already
// being answered goes on: the caller was let in while its key was valid.
func (c *call) reauthorize() *result.Error {
	if c.reply.began {
		return nil
	}
	return c.authorize()
}

func (c *call) tenantName() string {
	if c.granted.tenant == nil {
		return ""
	}
	return c.granted.tenant.Name
}

// takeKey keeps the key's digest in place of the key.
func (c *call) takeKey() {
	c.asked.key = tenant.DigestOf(c.asked.facts.APIKey)
	c.asked.facts.APIKey = ""
}
