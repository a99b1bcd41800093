package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// DefaultLoadDuration is how long a load takes at an engine without a
	// weight store, in the engine's time.
	DefaultLoadDuration = 2 * time.Second
	// defaultVersion is the version of what is loaded without naming one.
	defaultVersion = "default"
	// maxTimeScale bounds Options.TimeScale.
	maxTimeScale = 1e6
)

// Options describe one engine.
type Options struct {
	Name string
	// Generation names a known generation; empty is DefaultGeneration.
	Generation string
	Zone       string
	// Models and Adapters are loaded from the start, each "name" or
	// "name@version".
	Models   []string
	Adapters []string
	// Seed decides the text of the answers; engines of one fleet share it.
	Seed uint64
	// TimeScale is how many seconds of the engine pass in one real second;
	// zero is 1.
	TimeScale float64
	// MemoryTokens is the room for KV cache; zero is the generation's.
	MemoryTokens int
	// MaxWaiting, LoadLag, CacheEventDelay and CacheEventLoss are as in
	// CoreOptions, in the engine's time.
	MaxWaiting      int
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// WeightStore is the base URL of the weight store; where it is empty, a
	// load takes DefaultLoadDuration.
	WeightStore string
	// LedgerLimit is how many ledger entries are kept; zero is the ledger's
	// default.
	LedgerLimit int
}

// Check returns an error that names the first option that can't be used.
func (o Options) Check() error {
	if _, ok := FindGeneration(o.Generation); !ok {
		return merry.Errorf("engine %s: unknown generation %q, want one of %s", o.Name, o.Generation, generationNames())
	}
	if !(o.TimeScale >= 0) || o.TimeScale > maxTimeScale {
		return merry.Errorf("engine %s: time scale %v, want 0 to %v", o.Name, o.TimeScale, maxTimeScale)
	}
	if !(o.CacheEventLoss >= 0 && o.CacheEventLoss <= 1) {
		return merry.Errorf("engine %s: cache event loss %v, want 0 to 1", o.Name, o.CacheEventLoss)
	}
	if min(o.LoadLag, o.CacheEventDelay) < 0 || min(o.MemoryTokens, o.MaxWaiting, o.LedgerLimit) < 0 {
		return merry.Errorf("engine %s: a lag, delay or limit is negative", o.Name)
	}
	if slices.ContainsFunc(loadedOf(slices.Concat(o.Models, o.Adapters)), func(item Loaded) bool { return item.Name == "" }) {
		return merry.Errorf("engine %s: a model or adapter has no name", o.Name)
	}
	return nil
}

func generationNames() string {
	var names []string
	for _, generation := range generations {
		names = append(names, generation.Name)
	}
	return strings.Join(names, ", ")
}

func (o *Options) setDefaults() {
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
}

func newServerCore(options Options) *Core {
	generation, _ := FindGeneration(options.Generation)
	if options.MemoryTokens > 0 {
		generation.MemoryTokens = options.MemoryTokens
	}
	coreOptions := CoreOptions{
		Generation:      generation,
		Models:          loadedOf(options.Models),
		Adapters:        loadedOf(options.Adapters),
		MaxWaiting:      options.MaxWaiting,
		LoadLag:         options.LoadLag,
		CacheEventDelay: options.CacheEventDelay,
		CacheEventLoss:  options.CacheEventLoss,
		Seed:            options.Seed,
	}
	if options.WeightStore == "" {
		coreOptions.LoadDuration = func(time.Duration, Loaded) time.Duration { return DefaultLoadDuration }
	}
	return NewCore(coreOptions)
}

// loadedOf reads a list of "name" and "name@version".
func loadedOf(names []string) []Loaded {
	list := make([]Loaded, 0, len(names))
	for _, name := range names {
		name, version, found := strings.Cut(name, "@")
		if !found {
			version = defaultVersion
		}
		list = append(list, Loaded{Name: name, Version: version})
	}
	return list
}
