package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marblering/marblering/coordination/routing"
)

func Example() {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	ledger := routing.NewLedger()
	locality := routing.NewLocality(10_000, 2*time.Second)
	locality.Answered("program-1", "engine-b", 6000, now)

	snapshot := &routing.Snapshot{
		Now: now,
		Engines: []routing.EngineState{
			{Name: "engine-a", Zone: "hall-a", Models: []string{"small"}, PrefillSpeed: 8000, DecodeSpeed: 60, ReportedAt: now},
			{Name: "engine-b", Zone: "hall-b", Models: []string{"small"}, PrefillSpeed: 4000, DecodeSpeed: 40, ReportedAt: now},
			{Name: "engine-c", Zone: "hall-c", Models: []string{"large"}, PrefillSpeed: 4000, DecodeSpeed: 40, ReportedAt: now},
		},
		Weights: routing.LatencyWeights(),
		Pending: ledger,
	}
	request := &routing.Request{
		Program:       "program-1",
		Root:          "program-1",
		Model:         "small",
		Zone:          "hall-a",
		HistoryTokens: 6000,
		NewTokens:     200,
		OutputTokens:  50,
		CachedOn:      locality.CachedOn("program-1"),
	}

	decision := routing.Choose(snapshot, request, random)
	if decision.Err != nil {
		fmt.Println(decision.Err, decision.Err.RetryAfter)
		return
	}
	ledger.Reserve(decision.Engine, "request-1", decision.Work, now)
	fmt.Println(decision.Engine, decision.Work.PromptTokens)
	fmt.Println(decision.Reason)
	// Output:
	// engine-b 200
	// least cost 0.651s: queue 0.000s, prefill 0.050s with 6000 tokens cached
}
