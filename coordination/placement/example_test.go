package placement_test

import (
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/placement"
)

func ExamplePlan() {
	small := placement.Item{Name: "small", Version: "1"}
	large := placement.Item{Name: "large", Version: "1"}
	state := placement.State{
		Now: time.Unix(10_000, 0),
		Engines: []placement.Engine{
			{Name: "engine-a", Zone: "hall-a", Capacity: 10, ModelSlots: 1, Models: []placement.Item{small}},
			{Name: "engine-b", Zone: "hall-b", Capacity: 10, ModelSlots: 1, Models: []placement.Item{small}},
			{Name: "engine-c", Zone: "hall-c", Capacity: 10, ModelSlots: 1, Models: []placement.Item{small}},
		},
		Demands: []placement.Demand{
			{Model: small, Load: 8, MinEngines: 2},
			{Model: large, Load: 3, MinEngines: 1},
		},
	}
	for _, order := range placement.Plan(state, placement.DefaultPolicy()) {
		fmt.Println(order.Engine, order.Action, order.Item.Name)
	}
	// Output:
	// engine-a unload_model small
	// engine-a load_model large
}
