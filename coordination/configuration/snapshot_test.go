package configuration

import (
	"context"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const digestOfKey = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

// fixture is a small valid configuration, one body for each key.
func fixture() map[Key]string {
	return map[Key]string{
		{KindTenant, "brandersbox"}: `{"api_key_sha256":["` + digestOfKey + `"],"limits":{"max_concurrent_calls":8}}`,
		{KindModel, "small"}:        `{"context_tokens":32768,"default_max_tokens":512}`,
		{KindAdapter, "tickets"}:    `{"model":"small"}`,
		{KindPool, "main"}:          `{"zones":["hall-a"],"models":["small"],"roles":["mixed"],"minimum_engines":1}`,
		{KindEngine, "e1"}:          `{"address":"http://10.0.0.7:8000","zone":"hall-a","generation":"g1","pool":"main","models":["small"],"adapters":["tickets"]}`,
		{KindNode, "n1"}:            `{"draining":true}`,
		{KindWeights, "default"}:    `{"latency":2,"wasted_cache":1}`,
		{KindLimits, "default"}:     `{"default_deadline":"30s"}`,
		{KindShardMap, "default"}:   `{"shard_count":1,"replication_factor":1,"members":[[{"node":"n1","incarnation":"i1","address":"10.0.0.1:7400","zone":"hall-a"}]]}`,
	}
}

// objectsOf turns bodies into objects, all written at the version.
func objectsOf(version uint64, bodies map[Key]string) []Object {
	var objects []Object
	for key, body := range bodies {
		objects = append(objects, Object{Key: key, Version: version, Body: json.RawMessage(body)})
	}
	return objects
}

func mustApply(t *testing.T, version uint64, bodies map[Key]string) *Snapshot {
	t.Helper()
	snapshot, err := (*Snapshot)(nil).Apply(version, objectsOf(version, bodies))
	assert.NilError(t, err)
	return snapshot
}

func TestSnapshotAccessors(t *testing.T) {
	snapshot := mustApply(t, 5, fixture())
	assert.Equal(t, snapshot.Version(), uint64(5))
	tenant, found := snapshot.TenantByKey(digestOfKey)
	assert.Assert(t, found)
	assert.Equal(t, tenant.Name, "brandersbox")
	assert.Equal(t, tenant.Weight, 1.0)
	assert.Equal(t, snapshot.Engines()[0].Role, RoleMixed)
	assert.Equal(t, snapshot.Weights().Latency, 2.0)
	assert.Equal(t, snapshot.Limits().DefaultDeadline.Std(), 30*time.Second)
	assert.Equal(t, snapshot.Limits().MaxAttempts, DefaultLimits().MaxAttempts)
	shards, found := snapshot.ShardMap()
	assert.Assert(t, found)
	assert.Equal(t, shards.Members[0][0].Node, "n1")
	assert.Equal(t, len(snapshot.Objects(4)), len(fixture()))
	assert.Equal(t, len(snapshot.Objects(5)), 0)
}

func TestFaultsNameObjectFieldAndWhatIsAllowed(t *testing.T) {
	cases := []struct {
		key  Key
		body string
		want string
	}{
		{Key{KindTenant, "t"}, `{"api_key":"x"}`, `tenant/t: field api_key: isn't a field of kind tenant; allowed:`},
		{Key{KindTenant, "t"}, `{"api_key_sha256":["AB"]}`, `tenant/t: field api_key_sha256[0]: "AB" isn't a digest; allowed: 64`},
		{Key{KindTenant, "t"}, `{"api_key_sha256":["` + digestOfKey + `"]}`, `tenant/t: field api_key_sha256[0]: is a key of tenant/brandersbox too; allowed:`},
		{Key{KindTenant, "t"}, `{"weight":0}`, `tenant/t: field weight: 0 is out of range; allowed: 0.001 to 1000`},
		{Key{KindTenant, "t"}, `{"limits":{"tokens_per_minute":-1}}`, `tenant/t: field limits.tokens_per_minute: is a JSON number -1; allowed: uint64`},
		{Key{KindTenant, "T t"}, `{}`, `tenant/T t: field name: "T t" isn't a name; allowed: ^[a-zA-Z0-9]`},
		{Key{KindTenant, "t"}, `{"name":"u"}`, `tenant/t: field name: "u" isn't the name of the object; allowed: "t" or none`},
		{Key{KindTenant, "t"}, `{} {}`, `tenant/t: field (body): there is text after the JSON value; allowed:`},
		{Key{KindModel, "m"}, `{"context_tokens":10,"default_max_tokens":11}`, `model/m: field default_max_tokens: 11 is out of range; allowed: 1 to 10`},
		{Key{KindAdapter, "a"}, `{"model":"none"}`, `adapter/a: field model: there is no model/none; allowed: the name of an existing model`},
		{Key{KindPool, "p"}, `{"zones":["z"],"models":[],"roles":["mixed"]}`, `pool/p: field models: is empty; allowed: one name or more`},
		{Key{KindPool, "p"}, `{"zones":["z"],"models":["small"],"roles":["both"]}`, `pool/p: field roles[0]: "both" isn't a role; allowed: mixed, prefill, decode`},
		{Key{KindEngine, "e1"}, `{"address":"http://engine:8000","zone":"hall-a","generation":"g1","pool":"main","models":["small"]}`, `engine/e1: field address: "http://engine:8000" isn't an address; allowed: http://IP:port by number`},
		{Key{KindEngine, "e1"}, `{"address":"http://10.0.0.7:8000","zone":"hall-b","generation":"g1","pool":"main","models":["small"]}`, `engine/e1: field zone: "hall-b" isn't a zone of pool/main; allowed: ["hall-a"]`},
		{Key{KindWeights, "other"}, `{}`, `weights/other: field name: "other" isn't the name of the one object of this kind; allowed: "default"`},
		{Key{KindLimits, "default"}, `{"default_deadline":30}`, `allowed: a number with a unit in quotes`},
		{Key{KindShardMap, "default"}, `{"shard_count":2,"replication_factor":1,"members":[]}`, `shard_map/default: field members: has 0 replica sets; allowed: one for each of the 2 shards`},
	}
	for _, test := range cases {
		t.Run(test.key.String()+test.body, func(t *testing.T) {
			bodies := fixture()
			bodies[test.key] = test.body
			_, err := (*Snapshot)(nil).Apply(1, objectsOf(1, bodies))
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, len(err.(Faults)), 1)
		})
	}
}

func TestRemovalOfAReferencedObjectIsAFault(t *testing.T) {
	snapshot := mustApply(t, 1, fixture())
	_, err := snapshot.Apply(2, []Object{{Key: Key{KindPool, "main"}, Version: 2, Deleted: true}})
	assert.ErrorContains(t, err, "engine/e1: field pool: there is no pool/main")
}

func TestHolderOnlyMovesForward(t *testing.T) {
	holder := NewHolder()
	newer, older := mustApply(t, 5, fixture()), mustApply(t, 4, fixture())
	changed := holder.Changed()
	assert.Assert(t, holder.Move(newer))
	<-changed
	assert.Assert(t, !holder.Move(older))
	assert.Equal(t, holder.Version(), uint64(5))
	current, err := holder.Wait(t.Context(), 5)
	assert.NilError(t, err)
	assert.Equal(t, current, newer)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = holder.Wait(ended, 6)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, strings.Contains(err.Error(), "version 6, have 5"))
}

func TestMinimumOfAPool(t *testing.T) {
	engine := Key{KindEngine, "e1"}
	before := mustApply(t, 1, fixture())
	cases := []struct {
		name    string
		change  Object
		refused bool
	}{
		{"drain", Object{Body: json.RawMessage(strings.Replace(fixture()[engine], "{", `{"draining":true,`, 1))}, true},
		{"stop", Object{Body: json.RawMessage(strings.Replace(fixture()[engine], "{", `{"stopped":true,`, 1))}, true},
		{"remove", Object{Deleted: true}, true},
		{"leave", Object{Body: json.RawMessage(fixture()[engine])}, false},
	}
	for _, test := range cases {
		test.change.Key, test.change.Version = engine, 2
		after, err := before.Apply(2, []Object{test.change})
		assert.NilError(t, err)
		assert.Equal(t, len(checkMinimum(engine, before, after)) > 0, test.refused, test.name)
	}
	raised := fixture()
	raised[Key{KindPool, "main"}] = strings.Replace(raised[Key{KindPool, "main"}], `s":1`, `s":5`, 1)
	assert.Equal(t, len(checkMinimum(engine, before, mustApply(t, 2, raised))), 0)
}

// TestOperatorsPageExamples holds the examples of the operators' page valid as a
// whole, one for each kind.
func TestOperatorsPageExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/configuration.md")
	assert.NilError(t, err)
	examples := regexp.MustCompile("(?s)### `([a-z_]+)`[^#]*?```json\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	bodies := make(map[Key]string)
	for _, example := range examples {
		kind := Kind(example[1])
		name := map[Kind]string{KindModel: "small", KindPool: "main", KindAdapter: "tickets"}[kind]
		if name == "" {
			name = SingletonName
		}
		bodies[Key{kind, name}] = example[2]
	}
	assert.Equal(t, len(bodies), len(Kinds()))
	mustApply(t, 1, bodies)
}
