package experiment

import (
	"bytes"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"

	"github.com/marblering/marblering/coordination/routing"
)

// Config describes an experiment. Every deployment is run with every policy at
// every load, and with every fault at FaultLoad.
type Config struct {
	// Seed decides the programs and their arrivals.
	Seed uint64 `yaml:"seed"`
	// Duration is the virtual time over which programs arrive; those that start
	// after Warmup are measured.
	Duration time.Duration `yaml:"duration"`
	Warmup   time.Duration `yaml:"warmup"`
	// Loads are multiples of the capacity, see Run.
	Loads     []float64 `yaml:"loads"`
	Faults    []Fault   `yaml:"faults"`
	FaultLoad float64   `yaml:"fault_load"`
	Policies  []string  `yaml:"policies"`
	// Deployments to run.
	Deployments []DeploymentConfig `yaml:"deployments"`
	// Parallel is how many trials run at once; it has no influence on the
	// report. Zero means two.
	Parallel int `yaml:"parallel"`
}

// DeploymentConfig is a known deployment with a known workload.
type DeploymentConfig struct {
	Name     string `yaml:"name"`
	Workload string `yaml:"workload"`
	// Weights are those of the policy marblering: latency or cache.
	Weights string `yaml:"weights"`
	// Capacity in programs per second; zero measures it, see Run.
	Capacity float64 `yaml:"capacity_programs_per_second"`
}

// Names of the weights.
const (
	LatencyWeights = "latency"
	CacheWeights   = "cache"
)

// DefaultConfig is the whole comparison: both deployments, all policies.
func DefaultConfig() Config {
	return Config{
		Seed:      1,
		Duration:  15 * time.Minute,
		Warmup:    3 * time.Minute,
		Loads:     []float64{0.5, 0.9, 1.2, 2},
		Faults:    []Fault{EngineLost, SlowEngine, ZoneCut},
		FaultLoad: 0.7,
		Policies:  PolicyNames(),
		Deployments: []DeploymentConfig{
			{Name: Sofia, Workload: IncidentBursts, Weights: LatencyWeights},
			{Name: NLCentral, Workload: LongConversations, Weights: CacheWeights},
		},
	}
}

// LoadConfig reads a YAML file over DefaultConfig. Unknown keys are errors.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, merry.Prependf(err, "read experiment")
	}
	config, err := ParseConfig(text)
	return config, merry.Prependf(err, "read experiment %s", path)
}

// ParseConfig reads YAML over DefaultConfig. Unknown keys are errors.
func ParseConfig(text []byte) (Config, error) {
	config := DefaultConfig()
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&config); err != nil {
		return Config{}, merry.Wrap(err)
	}
	return config, config.Validate()
}

// Bounds of a configuration, so that a mistake doesn't run for hours.
const (
	maxDuration = 4 * time.Hour
	maxLoad     = 10
	maxParallel = 16
)

// Validate says what is wrong with the configuration.
func (c *Config) Validate() error {
	switch {
	case c.Duration <= 0 || c.Duration > maxDuration:
		return merry.Errorf("duration is %s, must be above 0 and at most %s", c.Duration, maxDuration)
	case c.Warmup < 0 || c.Warmup >= c.Duration:
		return merry.Errorf("warmup is %s, must be at least 0 and below the duration of %s", c.Warmup, c.Duration)
	case len(c.Loads) == 0 && len(c.Faults) == 0:
		return merry.Errorf("loads and faults are both empty: nothing to run")
	case len(c.Policies) == 0:
		return merry.Errorf("policies is empty: nothing to run")
	case len(c.Deployments) == 0:
		return merry.Errorf("deployments is empty: nothing to run")
	case c.Parallel < 0 || c.Parallel > maxParallel:
		return merry.Errorf("parallel is %d, must be from 0 to %d", c.Parallel, maxParallel)
	}
	return c.validateLists()
}

func (c *Config) validateLists() error {
	loads := c.Loads
	if len(c.Faults) > 0 {
		loads = append(loads[:len(loads):len(loads)], c.FaultLoad)
	}
	for _, load := range loads {
		if !(load > 0 && load <= maxLoad) {
			return merry.Errorf("load %v must be above 0 and at most %d", load, maxLoad)
		}
	}
	for _, fault := range c.Faults {
		if !fault.known() {
			return merry.Errorf("fault %q is unknown: known are %s, %s and %s", fault, EngineLost, SlowEngine, ZoneCut)
		}
	}
	for _, name := range c.Policies {
		if _, err := findPolicy(name, routing.Weights{}); err != nil {
			return err
		}
	}
	for i := range c.Deployments {
		if _, err := c.Deployments[i].build(); err != nil {
			return merry.Prependf(err, "deployments[%d]", i)
		}
	}
	return nil
}

// cacheWeights suit a deployment that values saved computation most: what a
// call pushes out of a cache counts in full, and all programs count alike.
func cacheWeights() routing.Weights {
	weights := routing.LatencyWeights()
	weights.Eviction = 1
	weights.UrgencyTokens = 0
	return weights
}

// site is a deployment with its workload, ready to be run.
type site struct {
	deployment Deployment
	workload   workload
	weights    routing.Weights
	capacity   float64
}

func (d *DeploymentConfig) build() (site, error) {
	deployment, err := FindDeployment(d.Name)
	if err != nil {
		return site{}, err
	}
	found, err := findWorkload(d.Workload)
	if err != nil {
		return site{}, err
	}
	built := site{deployment: deployment, workload: found, capacity: d.Capacity}
	switch d.Weights {
	case LatencyWeights, "":
		built.weights = routing.LatencyWeights()
	case CacheWeights:
		built.weights = cacheWeights()
	default:
		return site{}, merry.Errorf("weights %q are unknown: known are %s and %s", d.Weights, LatencyWeights, CacheWeights)
	}
	if !(d.Capacity >= 0) {
		return site{}, merry.Errorf("capacity_programs_per_second is %v, must be at least 0", d.Capacity)
	}
	return built, nil
}
