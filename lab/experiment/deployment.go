package experiment

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/lab/engine"
)

// Deployment is a fleet and its network.
type Deployment struct {
	Name  string
	Zones []string
	// Engines are assigned to the zones in turn.
	Engines []EngineSpec
	// Nodes is how many nodes take decisions, one zone after the other.
	Nodes int
	// BetweenZones is the network delay one way.
	BetweenZones time.Duration
}

// EngineSpec is one engine of a deployment.
type EngineSpec struct {
	Name       string
	Zone       string
	Generation engine.Generation
}

// withinZone is the network delay one way between machines of one zone.
const withinZone = 200 * time.Microsecond

// The deployments whose sizes are known.
const (
	NLCentral = "nl-central"
	Sofia     = "sofia"
)

// FindDeployment returns a known deployment.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case NLCentral:
		return newDeployment(name, []string{"hall-a", "hall-b", "hall-c"}, 3, 1500*time.Microsecond,
			[]string{"gen1", "gen2", "gen3", "gen2", "gen3", "gen4", "gen3", "gen2", "gen1", "gen4", "gen3", "gen5"})
	case Sofia:
		return newDeployment(name, []string{"lozenets", "druzhba", "lyulin", "nadezhda"}, 4, 500*time.Microsecond,
			[]string{"gen1", "gen2", "gen3", "gen4", "gen2", "gen3", "gen1", "gen3", "gen3", "gen2", "gen4", "gen2", "gen5", "gen3"})
	}
	return Deployment{}, merry.Errorf("find deployment %q: known are %s and %s", name, NLCentral, Sofia)
}

func newDeployment(name string, zones []string, nodes int, betweenZones time.Duration, generations []string) (Deployment, error) {
	deployment := Deployment{Name: name, Zones: zones, Nodes: nodes, BetweenZones: betweenZones}
	for i, generationName := range generations {
		generation, found := engine.FindGeneration(generationName)
		if !found {
			return Deployment{}, merry.Errorf("build deployment %s: no generation %q", name, generationName)
		}
		deployment.Engines = append(deployment.Engines, EngineSpec{
			Name:       fmt.Sprintf("engine-%02d", i+1),
			Zone:       zones[i%len(zones)],
			Generation: generation,
		})
	}
	return deployment, nil
}

// delay is the network delay one way between two zones.
func (d *Deployment) delay(from, to string) time.Duration {
	if from == to {
		return withinZone
	}
	return d.BetweenZones
}

// programSeconds is the engine time a program takes on a generation that
// computes nothing twice and always decodes a full batch.
func programSeconds(generation engine.Generation, demand demand) float64 {
	batch := float64(generation.MaxBatch)
	step := generation.StepBase.Seconds() + batch*generation.StepPerSequence.Seconds()
	return float64(demand.promptTokens)/generation.PrefillRate + float64(demand.outputTokens)*step/batch
}

// capacity is the greatest rate, in programs per second, at which the fleet
// can serve a workload whose programs have the given mean demand, if it
// computes nothing twice and decodes full batches throughout. No policy can
// reach it; loads are given as multiples of it.
func (d *Deployment) capacity(mean demand) float64 {
	total := 0.0
	for _, spec := range d.Engines {
		total += 1 / programSeconds(spec.Generation, mean)
	}
	return total
}
