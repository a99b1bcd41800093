package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/limit"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Tenant is a customer with its keys and its rate limit.
type Tenant struct {
	// Name is unique among tenants and identifies the tenant in logs and metrics.
	Name string
	// Keys are the digests of the keys that the tenant's callers may use.
	Keys []Digest
	// Rate limits the tenant's requests over all nodes, in requests per second with a burst.
	// The zero value is unlimited.
	Rate limit.Rate
}

// Directory finds tenants by their keys. It is read-only once created.
type Directory struct {
	byKey map[Digest]*Tenant
}

// NewDirectory returns a directory of the tenants. It returns an error if a tenant has no name,
// or if two tenants have the same name or key.
func NewDirectory(tenants []Tenant) (Directory, error) {
	d := Directory{byKey: make(map[Digest]*Tenant)}
	names := make(map[string]bool, len(tenants))
	for index := range tenants {
		tenant := &tenants[index]
		if tenant.Name == "" || names[tenant.Name] {
			return Directory{}, merry.Errorf("tenant %d: the name %q is empty or taken", index, tenant.Name)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if owner, taken := d.byKey[key]; taken && owner != tenant {
				return Directory{}, merry.Errorf("tenants %q and %q have the same key", owner.Name, tenant.Name)
			}
			d.byKey[key] = tenant
		}
	}
	return d, nil
}

// Find returns the tenant that has the key. found is false if no tenant has it.
func (d Directory) Find(key Digest) (owner *Tenant, found bool) {
	owner, found = d.byKey[key]
	return owner, found
}
