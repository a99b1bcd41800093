package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/limit"
)

// Digest stands for a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String is the digest in lower case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Tenant is one customer.
type Tenant struct {
	// Name is unique among tenants; logs and metrics go by it.
	Name string
	// Keys stand for the keys that its callers may use.
	Keys []Digest
	// Rate bounds its requests at all nodes together, in requests a second with a burst;
	// the zero value is no limit.
	Rate limit.Rate
}

// Directory finds tenants by their keys. It is only read.
type Directory struct {
	byKey map[Digest]*Tenant
}

// NewDirectory makes a directory. It fails where a tenant has no name, or two tenants have
// the same name or key.
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

// Find returns the tenant that has the key; found is false where none has.
func (d Directory) Find(key Digest) (owner *Tenant, found bool) {
	owner, found = d.byKey[key]
	return owner, found
}
