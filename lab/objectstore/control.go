package objectstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the switches set at POST /control/faults. A field that the
// request leaves out keeps its value.
type Faults struct {
	// Down answers every request with 503 and cuts the open watches.
	Down *bool `json:"down,omitempty"`
	// SlowMs delays every answer by this many milliseconds on average.
	SlowMs *int64 `json:"slow_ms,omitempty"`
	// LoseAnswers is how many of the next writes take effect and then have
	// their connection cut instead of an answer; -1 means all from now on.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// MachinesLagMs is how far in the past the list of machines is shown.
	MachinesLagMs *int64 `json:"machines_lag_ms,omitempty"`
	// Compact forgets the log of changes once: older watches get 410.
	Compact bool `json:"compact,omitempty"`
}

// switches holds the current faults.
type switches struct {
	mutex       sync.Mutex
	random      *rand.Rand
	down        bool
	slow        time.Duration
	loseAnswers int
	machinesLag time.Duration
}

func newSwitches(seed uint64) *switches {
	return &switches{random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *switches) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Down != nil {
		s.down = *faults.Down
	}
	if faults.SlowMs != nil {
		s.slow = time.Duration(*faults.SlowMs) * time.Millisecond
	}
	if faults.LoseAnswers != nil {
		s.loseAnswers = *faults.LoseAnswers
	}
	if faults.MachinesLagMs != nil {
		s.machinesLag = time.Duration(*faults.MachinesLagMs) * time.Millisecond
	}
}

// get returns the switches as a Faults value.
func (s *switches) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	down, lose := s.down, s.loseAnswers
	slow, lag := s.slow.Milliseconds(), s.machinesLag.Milliseconds()
	return Faults{Down: &down, SlowMs: &slow, LoseAnswers: &lose, MachinesLagMs: &lag}
}

func (s *switches) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// delay draws the delay of one answer: between half and one and a half times
// the set value.
func (s *switches) delay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.slow <= 0 {
		return 0
	}
	return s.slow/2 + time.Duration(s.random.Int64N(int64(s.slow)))
}

// takeLoss reports whether the answer of the write that was just done is lost.
func (s *switches) takeLoss() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return true
	}
	return s.loseAnswers < 0
}

func (s *switches) lag() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machinesLag
}
