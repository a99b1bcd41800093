package objectapi_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/protocol/objectapi"
)

// TestWireTypesMatchGolden compares the JSON encodings with
// testdata/types.golden. go test ./protocol/objectapi -update rewrites the file.
func TestWireTypesMatchGolden(t *testing.T) {
	object := objectapi.Object{Kind: "pool", Name: "a", Version: 3, Revision: 4, Body: json.RawMessage(`{"zones":["<z1>"]}`)}
	var output strings.Builder
	for _, value := range []any{
		object,
		objectapi.List{Revision: 4, Items: []objectapi.Object{object}},
		objectapi.Event{Revision: 4, Object: &object, Deleted: true},
		objectapi.Event{Revision: 5},
		objectapi.Machine{Name: "m1", Address: "10.0.0.7", Zone: "z1", State: objectapi.MachineLive},
		objectapi.Machine{State: objectapi.MachineLeaving},
		objectapi.WrittenBy{CommandID: "c2", Operator: "ann", Previous: []string{"c1"}},
		objectapi.WrittenBy{},
	} {
		encoded, err := json.Marshal(value)
		assert.NilError(t, err)
		fmt.Fprintf(&output, "%T\n%s\n\n", value, encoded)
	}
	golden.Assert(t, output.String(), "types.golden")
}

// objectBodies lists bodies of each kind: one with all fields, one with only the
// required fields.
var objectBodies = []struct {
	kind         configuration.Kind
	name         string
	full, needed string
}{
	{
		configuration.KindTenant, "t1",
		`{"name":"t1","written_by":{"command_id":"c2","operator":"ann","previous":["c1"]},"api_key_sha256":["` +
			strings.Repeat("0f", 32) + `"],"limits":{"max_concurrent_programs":1,"max_concurrent_calls":2,"tokens_per_minute":3},"weight":0.5}`,
		`{}`,
	},
	{configuration.KindModel, "m", `{"context_tokens":1000,"default_max_tokens":10}`, `{"context_tokens":1000,"default_max_tokens":10}`},
	{configuration.KindAdapter, "a", `{"model":"m"}`, `{"model":"m"}`},
	{
		configuration.KindPool, "p",
		`{"zones":["z1"],"models":["m"],"roles":["mixed","prefill","decode"],"minimum_engines":2}`,
		`{"zones":["z1"],"models":["m"],"roles":["mixed"]}`,
	},
	{
		configuration.KindEngine, "e1",
		`{"address":"http://10.0.0.8:8000","zone":"z1","generation":"g1","pool":"p","models":["m"],"adapters":["a"],"role":"prefill","draining":true,"stopped":true}`,
		`{"address":"http://10.0.0.8:8000","zone":"z1","generation":"g1","pool":"p","models":["m"]}`,
	},
	{configuration.KindNode, "n1", `{"draining":true}`, `{}`},
	{configuration.KindWeights, configuration.SingletonName, `{"latency":2,"wasted_cache":0.25}`, `{}`},
	{
		configuration.KindLimits, configuration.SingletonName,
		`{"max_request_bytes":2000,"default_deadline":"30s","default_idle_limit":"10m","default_turn_limit":7,"max_attempts":2}`,
		`{}`,
	},
	{
		configuration.KindShardMap, configuration.SingletonName,
		`{"shard_count":1,"replication_factor":1,"members":[[{"node":"n1","incarnation":"i1","address":"10.0.0.7:7200","zone":"z1"}]]}`,
		`{"shard_count":1,"replication_factor":1,"members":[[{"node":"n1","incarnation":"i1","address":"10.0.0.7:7200","zone":"z1"}]]}`,
	},
}

// TestObjectBodiesMatchGolden compares the decoded bodies of all kinds,
// with their defaults, with testdata/bodies.golden.
func TestObjectBodiesMatchGolden(t *testing.T) {
	var page strings.Builder
	seen := make(map[configuration.Kind]bool)
	for _, object := range objectBodies {
		seen[object.kind] = true
		for _, body := range []string{object.full, object.needed} {
			key := configuration.Key{Kind: object.kind, Name: object.name}
			spec, err := configuration.Decode(configuration.Object{Key: key, Version: 1, Body: json.RawMessage(body)})
			assert.NilError(t, err, "%s", key)
			encoded, err := json.Marshal(spec)
			assert.NilError(t, err)
			fmt.Fprintf(&page, "%s\n  body  %s\n  reads %s\n\n", key, body, encoded)
		}
	}
	for _, kind := range configuration.Kinds() {
		assert.Check(t, seen[kind], "no body of kind %s", kind)
	}
	golden.Assert(t, page.String(), "bodies.golden")
}

// TestRequestsMatchGolden compares the requests of the client, and those that
// commands send through it, with testdata/requests.golden.
func TestRequestsMatchGolden(t *testing.T) {
	var page strings.Builder
	store := objectstore.New(objectstore.Options{Seed: 1})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		page.WriteString(request.Method + " " + request.RequestURI + "\n")
		request.Header.Del("User-Agent") // depends on the Go release
		assert.Check(t, request.Header.Write(&page))
		body, err := io.ReadAll(request.Body)
		assert.Check(t, err)
		fmt.Fprintf(&page, "\n%s\n\n", body)
		request.Body = io.NopCloser(bytes.NewReader(body))
		store.ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)
	ctx := testContext(t)
	p := &platform{store: store, server: server, client: objectapi.NewClient(server.URL+"/", server.Client()).WithNodeName("n1")}

	written, err := p.client.Put(ctx, "pool", "a.b", objectapi.IfAbsent(), body("c1"))
	assert.NilError(t, err)
	written, err = p.client.Put(ctx, "pool", "a.b", objectapi.IfVersion(written.Version), body("c2", "c1"))
	assert.NilError(t, err)
	_, err = p.client.Get(ctx, "pool", "a.b")
	assert.NilError(t, err)
	_, err = p.client.List(ctx, "pool")
	assert.NilError(t, err)
	_, err = p.client.ListAll(ctx)
	assert.NilError(t, err)
	_, err = p.client.ListMachines(ctx)
	assert.NilError(t, err)
	_, err = p.client.Delete(ctx, "pool", "a.b", written.Version)
	assert.NilError(t, err)
	stop := io.EOF
	err = p.client.Watch(ctx, written.Version, 0, func(objectapi.Event) error { return stop })
	assert.ErrorIs(t, err, stop)

	page.WriteString("# commands\n\n")
	accepted, err := newAcceptor(t, p).Accept(ctx, nodeChange("c3", 0))
	assert.NilError(t, err)
	removal := nodeChange("c4", accepted.Version)
	removal.Remove = true
	_, err = newAcceptor(t, p).Accept(ctx, removal)
	assert.NilError(t, err)
	golden.Assert(t, strings.ReplaceAll(page.String(), "\r\n", "\n"), "requests.golden")
}
