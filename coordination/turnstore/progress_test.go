package turnstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

// busyMembers need some time for each turn that they read.
type busyMembers struct{ *members }

const busyReadTime = 2 * time.Millisecond

func (m busyMembers) ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	select {
	case <-time.After(time.Duration(len(ids)) * busyReadTime):
	case <-ctx.Done():
		return nil, archive.Reply{}, ctx.Err()
	}
	return m.members.ReadMany(ctx, member, fence, ids)
}

// TestRepeatedLookupGoesOnWhereTheLastOneEnded guards against a chain that can't be read for
// good, since each lookup begins anew and busy members answer none in time.
func TestRepeatedLookupGoesOnWhereTheLastOneEnded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const chain = 1000 // turns
		m, v := newMembers(1)
		writer := newStore(t, "a", m, v)
		var ids []string
		for number := range chain {
			ids = append(ids, fmt.Sprint("turn-", number))
			assert.NilError(t, writer.Put(t.Context(), "program", &statev1.RetainedTurn{Id: ids[number]}, nil))
		}
		assert.NilError(t, writer.Put(t.Context(), "program", &statev1.RetainedTurn{Id: "last", Ancestors: ids}, nil))
		reader, err := turnstore.New("b", busyMembers{m}, v, reach.New(time.Now), 1<<20)
		assert.NilError(t, err)
		tries := 0
		for ; tries < 5; tries++ {
			if history, err := reader.History(t.Context(), "program", "last"); err == nil {
				assert.Equal(t, len(history), chain+1)
				break
			}
		}
		assert.Assert(t, tries > 0 && tries < 5, "%d lookups failed", tries)
	})
}
