package objectapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/protocol/objectapi"
)

const testTimeout = 30 * time.Second

type platform struct {
	store  *objectstore.Server
	server *httptest.Server
	client *objectapi.Client
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	store := objectstore.New(objectstore.Options{Seed: 1, BookmarkInterval: 10 * time.Millisecond})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &platform{store: store, server: server, client: objectapi.NewClient(server.URL, server.Client())}
}

func (p *platform) dropResponses(count int) {
	p.store.SetFaults(objectstore.Faults{LoseAnswers: &count})
}

func (p *platform) setDown(down bool) {
	p.store.SetFaults(objectstore.Faults{Down: &down})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func body(commandID string, previous ...string) json.RawMessage {
	header := struct {
		WrittenBy objectapi.WrittenBy `json:"written_by"`
	}{objectapi.WrittenBy{CommandID: commandID, Operator: "ann", Previous: previous}}
	data, _ := json.Marshal(header)
	return data
}

func TestConditionalWrites(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	first, err := p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("c1"))
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))

	var conflict *objectapi.ConflictError
	_, err = p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("c2"))
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, objectapi.ParseWrittenBy(conflict.Current.Body).CommandID, "c1")

	second, err := p.client.Put(ctx, "pool", "a", objectapi.IfVersion(first.Version), body("c3"))
	assert.NilError(t, err)
	_, err = p.client.Delete(ctx, "pool", "a", first.Version)
	assert.Assert(t, errors.As(err, &conflict))
	_, err = p.client.Delete(ctx, "pool", "a", second.Version)
	assert.NilError(t, err)

	var missing *objectapi.NotFoundError
	_, err = p.client.Get(ctx, "pool", "a")
	assert.Assert(t, errors.As(err, &missing))
	_, err = p.client.Put(ctx, "pool", "a", objectapi.IfVersion(second.Version), body("c4"))
	assert.Assert(t, errors.As(err, &missing))
}

func TestListReturnsOneRevision(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	for _, name := range []string{"b", "a"} {
		_, err := p.client.Put(ctx, "pool", name, objectapi.IfAbsent(), body("c-"+name))
		assert.NilError(t, err)
	}
	_, err := p.client.Put(ctx, "node", "n", objectapi.IfAbsent(), body("c-n"))
	assert.NilError(t, err)
	all, err := p.client.ListAll(ctx)
	assert.NilError(t, err)
	assert.Equal(t, all.Revision, uint64(3))
	assert.Equal(t, len(all.Items), 3)
	pools, err := p.client.List(ctx, "pool")
	assert.NilError(t, err)
	assert.Equal(t, len(pools.Items), 2)
	assert.Equal(t, pools.Items[0].Name, "a")
}

func TestWriteErrorsTellFailureFromUnknownOutcome(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	var unavailable *objectapi.UnavailableError
	var unknownOutcome *objectapi.UnknownOutcomeError

	p.setDown(true)
	_, err := p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("c1"))
	assert.Assert(t, errors.As(err, &unavailable))
	p.setDown(false)

	p.dropResponses(1)
	_, err = p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("c1"))
	assert.Assert(t, errors.As(err, &unknownOutcome))
	_, err = p.client.Get(ctx, "pool", "a")
	assert.NilError(t, err, "the write whose response was lost has taken effect")

	p.server.Close()
	_, err = p.client.Put(ctx, "pool", "b", objectapi.IfAbsent(), body("c2"))
	assert.Assert(t, errors.As(err, &unavailable))
}

func TestPutResolved(t *testing.T) {
	cases := []struct {
		name string
		lost int
		// before lists commands that write the object first.
		before []string
		wins   bool
	}{
		{name: "plain", wins: true},
		{name: "response lost once", lost: 1, wins: true},
		{name: "response lost twice", lost: 2, wins: true},
		{name: "another wrote first", before: []string{"other"}},
		{name: "another wrote first and a response is lost", lost: 1, before: []string{"other"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p, ctx := newPlatform(t), testContext(t)
			for _, command := range test.before {
				_, err := p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body(command))
				assert.NilError(t, err)
			}
			p.dropResponses(test.lost)
			object, err := p.client.PutWithRetry(ctx, "pool", "a", objectapi.IfAbsent(), body("mine"))
			var conflict *objectapi.ConflictError
			assert.Equal(t, err == nil, test.wins)
			assert.Equal(t, errors.As(err, &conflict), !test.wins)
			if test.wins {
				assert.Equal(t, objectapi.ParseWrittenBy(object.Body).CommandID, "mine")
				assert.Equal(t, object.Version, uint64(1), "the write was done once")
			}
		})
	}
}

func TestPutResolvedSucceedsAfterLaterWrite(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	first, err := p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("mine"))
	assert.NilError(t, err)
	_, err = p.client.Put(ctx, "pool", "a", objectapi.IfVersion(first.Version), body("other", "mine"))
	assert.NilError(t, err)
	_, err = p.client.PutWithRetry(ctx, "pool", "a", objectapi.IfAbsent(), body("mine"))
	assert.NilError(t, err)
}

func TestWatch(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	_, err := p.client.Put(ctx, "pool", "a", objectapi.IfAbsent(), body("c1"))
	assert.NilError(t, err)

	errStop := errors.New("enough")
	var seen []string
	err = p.client.Watch(ctx, 0, testTimeout, func(event objectapi.Event) error {
		if event.Object == nil {
			return nil
		}
		seen = append(seen, event.Object.Name)
		if len(seen) == 2 {
			return errStop
		}
		_, err := p.client.Put(ctx, "pool", "b", objectapi.IfAbsent(), body("c2"))
		return err
	})
	assert.ErrorIs(t, err, errStop)
	assert.Equal(t, strings.Join(seen, ","), "a,b")

	p.store.SetFaults(objectstore.Faults{Compact: true})
	var tooOld *objectapi.RevisionTooOldError
	err = p.client.Watch(ctx, 1, 0, func(objectapi.Event) error { return nil })
	assert.Assert(t, errors.As(err, &tooOld))
}

func TestWatchEndsWhenTheStoreGoesDown(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	err := p.client.Watch(ctx, 0, 0, func(objectapi.Event) error {
		p.setDown(true)
		return nil
	})
	var unavailable *objectapi.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
}

func TestWatchEndsAfterIdleTimeout(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer silent.Close()
	client := objectapi.NewClient(silent.URL, silent.Client())
	err := client.Watch(testContext(t), 0, 20*time.Millisecond, func(objectapi.Event) error { return nil })
	assert.ErrorIs(t, err, objectapi.ErrWatchIdle)
}

func TestStatsCountReaders(t *testing.T) {
	p, ctx := newPlatform(t), testContext(t)
	for _, node := range []string{"n1", "n2", "n1"} {
		_, err := p.client.WithNodeName(node).ListAll(ctx)
		assert.NilError(t, err)
	}
	stats := p.store.Stats()
	assert.Equal(t, stats.ReadersTotal, 2)
	assert.Equal(t, stats.Requests["list_all"], uint64(3))
}
