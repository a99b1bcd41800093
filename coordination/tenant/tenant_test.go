package tenant_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/tenant"
)

func Example() {
	directory, err := tenant.NewDirectory([]tenant.Tenant{{Name: "north", Keys: []tenant.Digest{tenant.DigestOf("k1")}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	found, ok := directory.Find(tenant.DigestOf("k1"))
	fmt.Println(found.Name, ok)
	// Output: north true
}

func TestDirectory(t *testing.T) {
	keys := func(plain ...string) (digests []tenant.Digest) {
		for _, key := range plain {
			digests = append(digests, tenant.DigestOf(key))
		}
		return digests
	}
	directory, err := tenant.NewDirectory([]tenant.Tenant{{Name: "a", Keys: keys("1", "2")}, {Name: "b", Keys: keys("3", "3")}})
	assert.NilError(t, err)
	for key, want := range map[string]string{"1": "a", "2": "a", "3": "b"} {
		found, ok := directory.Find(tenant.DigestOf(key))
		assert.Assert(t, ok, key)
		assert.Equal(t, found.Name, want)
	}
	for _, key := range []string{"", "4", "a", tenant.DigestOf("1").String()} {
		_, ok := directory.Find(tenant.DigestOf(key))
		assert.Assert(t, !ok, "%q isn't a key", key)
	}
	empty, err := tenant.NewDirectory(nil)
	assert.NilError(t, err)
	_, ok := empty.Find(tenant.DigestOf(""))
	assert.Assert(t, !ok)
}

func TestInvalidTenantsAreRejected(t *testing.T) {
	shared := []tenant.Digest{tenant.DigestOf("1")}
	for want, tenants := range map[string][]tenant.Tenant{
		"have the same key": {{Name: "a", Keys: shared}, {Name: "b", Keys: shared}},
		"is empty or taken": {{Name: "a"}, {Name: "a"}},
	} {
		_, err := tenant.NewDirectory(tenants)
		assert.ErrorContains(t, err, want)
	}
}
