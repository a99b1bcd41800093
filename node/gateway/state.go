package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/transport/peer"
)

const (
	// peerTimeout bounds one request to a replica.
	peerTimeout = time.Second
	// cachePart of the memory limit holds turns that were used lately.
	cachePart = 0.15
)

// state is this gateway's way to the programs' records and turns, which the
// storage nodes keep.
type state struct {
	lookup        *directory.Lookup
	budgets       *tokenbudget.Ledger
	conversations *conversation.Service
}

func newState(loaded settings.Gateway, metrics prometheus.Registerer, logger *zap.Logger) (*state, error) {
	lookup := directory.NewLookup(nil, logger)
	peers := peer.NewClient(peer.NewHTTPClient(), peerTimeout, peer.NewMetrics(metrics))
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// A gateway keeps no promise over a restart, so that each life is another
	// proposer.
	incarnation := loaded.Name + "/" + uuid.NewString()
	registers := register.NewClient(incarnation, peers, lookup, register.SystemClock{}, random, registerSettings())
	budgets := tokenbudget.New(registers, lookup.Locate, tokenbudget.DefaultSettings(), logger)
	turns, err := turnstore.New(loaded.Zone, peers, lookup, int(cachePart*float64(loaded.MemoryLimit)))
	if err != nil {
		return nil, err
	}
	return &state{lookup: lookup, budgets: budgets, conversations: conversation.New(turns, budgets, logger)}, nil
}

func registerSettings() register.Settings {
	bounds := register.DefaultSettings()
	bounds.RequestTimeout = 500 * time.Millisecond
	return bounds
}
