package experiment

import (
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/routing"
)

// Report is the outcome of an experiment.
type Report struct {
	Seed       uint64     `json:"seed"`
	Capacities []Capacity `json:"capacities"`
	Results    []Result   `json:"results"`
}

// Capacity is the rate that loads are multiples of.
type Capacity struct {
	Deployment string `json:"deployment"`
	Workload   string `json:"workload"`
	// ProgramsPerSecond that a baseline sustains, see Run.
	ProgramsPerSecond float64 `json:"programs_per_second"`
	// IdealPerSecond is what the fleet could do if it computed nothing twice
	// and always decoded full batches.
	IdealPerSecond float64 `json:"ideal_per_second"`
	// Given is set where the configuration states the capacity.
	Given bool `json:"given"`
}

// Run runs an experiment.
//
// The capacity of a deployment under a workload is the greatest rate of
// programs at which at least one of the baselines completes sustainedShare of
// them within the deadline, found by bisection. So 0.9 is a load that the best
// baseline copes with, whatever the policy under test can do.
func Run(config Config) (Report, error) {
	if err := config.Validate(); err != nil {
		return Report{}, merry.Prependf(err, "run experiment")
	}
	report := Report{Seed: config.Seed}
	var trials []trial
	for i := range config.Deployments {
		built, err := config.Deployments[i].build()
		if err != nil {
			return Report{}, merry.Prependf(err, "run experiment")
		}
		capacity := built.measureCapacity(&config)
		report.Capacities = append(report.Capacities, capacity)
		added, err := built.trials(&config, capacity.ProgramsPerSecond)
		if err != nil {
			return Report{}, merry.Prependf(err, "run experiment")
		}
		trials = append(trials, added...)
	}
	report.Results = runAll(trials, config.Parallel)
	return report, nil
}

// trials are all cells of the experiment at a site, those of a scenario
// together.
func (s *site) trials(config *Config, capacity float64) ([]trial, error) {
	var list []trial
	add := func(load float64, fault Fault) error {
		for _, name := range config.Policies {
			made, err := findPolicy(name, s.weights)
			if err != nil {
				return err
			}
			list = append(list, s.trial(config, made, load, load*capacity, fault))
		}
		return nil
	}
	for _, load := range config.Loads {
		if err := add(load, NoFault); err != nil {
			return nil, err
		}
	}
	for _, fault := range config.Faults {
		if err := add(config.FaultLoad, fault); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (s *site) trial(config *Config, made namedPolicy, load, rate float64, fault Fault) trial {
	return trial{
		deployment: s.deployment,
		workload:   s.workload,
		seed:       config.Seed,
		load:       load,
		rate:       rate,
		fault:      fault,
		duration:   config.Duration,
		warmup:     config.Warmup,
		policy:     made,
	}
}

// runAll runs trials, some at once, and returns their results in order. Trials
// share nothing, so the order in which they run doesn't matter.
func runAll(trials []trial, parallel int) []Result {
	const defaultParallel = 2
	if parallel == 0 {
		parallel = defaultParallel
	}
	results := make([]Result, len(trials))
	places := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for i := range trials {
		places <- struct{}{}
		running.Go(func() {
			results[i] = trials[i].run()
			<-places
		})
	}
	running.Wait()
	return results
}

// sustainedShare of the programs must be completed at a load within capacity.
const sustainedShare = 0.95

// bisections is how often the bracket of the capacity is halved.
const bisections = 7

func (s *site) measureCapacity(config *Config) Capacity {
	ideal := s.deployment.capacity(s.workload.meanDemand(config.Seed))
	capacity := Capacity{
		Deployment:        s.deployment.Name,
		Workload:          s.workload.name,
		ProgramsPerSecond: s.capacity,
		IdealPerSecond:    ideal,
		Given:             s.capacity > 0,
	}
	if capacity.Given {
		return capacity
	}
	low, high := 0.0, ideal
	for range bisections {
		middle := (low + high) / 2
		if s.sustains(config, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	capacity.ProgramsPerSecond = low
	return capacity
}

func (s *site) sustains(config *Config, rate float64) bool {
	for _, name := range baselineNames() {
		made, err := findPolicy(name, routing.Weights{})
		if err != nil {
			return false
		}
		attempt := s.trial(config, made, 0, rate, NoFault)
		result := attempt.run()
		if float64(result.Completed) >= sustainedShare*float64(result.Programs) {
			return true
		}
	}
	return false
}
