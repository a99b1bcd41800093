package engine

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
)

const (
	// tokenTick is how often tokens of running answers are passed on, in real
	// time.
	tokenTick = 2 * time.Millisecond
	// idleWait is how long the driver sleeps when nothing is due.
	idleWait = time.Hour
)

// instant is the present in the engine's time.
func (s *Server) instant() time.Duration {
	return time.Duration(float64(time.Since(s.started)) * s.options.TimeScale)
}

// change works on the core under the lock and wakes the driver.
func (s *Server) change(work func()) {
	s.mutex.Lock()
	work()
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// drive advances the core until the engine is closed.
func (s *Server) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.context.Done():
			s.abandon()
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(s.step())
	}
}

// step passes on what has happened and returns the real time until the next
// step.
func (s *Server) step() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.instant()
	for _, event := range s.core.Advance(now) {
		s.take(event)
	}
	wait := idleWait
	for id, answer := range s.live {
		wait = tokenTick
		produced, _ := s.core.Produced(now, id)
		status, _ := answer.now()
		if produced > status.chunks {
			status.chunks = produced
			answer.advance(status)
		}
	}
	if next, any := s.core.NextEvent(); any {
		due := time.Duration(float64(next-now) / s.options.TimeScale)
		wait = max(0, min(wait, due))
	}
	return wait
}

// take passes on one event of the core.
func (s *Server) take(event Event) {
	switch event.Kind {
	case Finished:
		s.finish(event)
	case Imported:
		close(s.imports[event.ID])
		delete(s.imports, event.ID)
	case LoadStarted:
		if s.options.WeightStore != "" {
			s.running.Go(func() { s.fetch(event.Item) })
		}
	}
}

// finish ends an answer and its ledger entry.
func (s *Server) finish(event Event) {
	answer := s.live[event.ID]
	delete(s.live, event.ID)
	s.ended = append(s.ended, answer.id)
	if len(s.ended) > recentRequests {
		delete(s.requests, s.ended[0])
		s.ended = s.ended[1:]
	}
	status := progress{chunks: event.Usage.OutputTokens, finishReason: engineapi.FinishStop, usage: usageOf(event.Usage)}
	outcome := ledger.Done
	if answer.cut {
		status.finishReason = engineapi.FinishLength
	}
	if event.Outcome == Cancelled {
		status.finishReason = engineapi.FinishCancelled
		outcome = ledger.Cancelled
	}
	s.ledger.Update(answer.ledgerNumber, func(entry *ledger.Entry) {
		entry.OutputTokens = uint64(event.Usage.OutputTokens)
		entry.CachedTokens = uint64(event.Usage.CachedTokens)
		entry.Outcome = outcome
	})
	answer.advance(status)
}

func usageOf(usage Usage) engineapi.ChatUsage {
	return engineapi.ChatUsage{
		PromptTokens:        uint64(usage.PromptTokens),
		CompletionTokens:    uint64(usage.OutputTokens),
		TotalTokens:         uint64(usage.PromptTokens + usage.OutputTokens),
		PromptTokensDetails: engineapi.PromptTokensDetails{CachedTokens: uint64(usage.CachedTokens)},
	}
}

// abandon fails every answer under way.
func (s *Server) abandon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, answer := range s.live {
		delete(s.live, id)
		status, _ := answer.now()
		status.failure = "the engine was stopped"
		s.ledger.Update(answer.ledgerNumber, func(entry *ledger.Entry) {
			entry.OutputTokens = uint64(status.chunks)
			entry.Outcome = ledger.Failed
		})
		answer.advance(status)
	}
}

// fetch reads weights from the weight store and ends the load.
func (s *Server) fetch(item Loaded) {
	err := s.readWeights(item)
	s.change(func() { s.core.FinishLoad(s.instant(), item, err != nil) })
}

func (s *Server) readWeights(item Loaded) error {
	address := s.options.WeightStore + "/weights/" + url.PathEscape(item.Name) + "/" + url.PathEscape(item.Version)
	request, err := http.NewRequestWithContext(s.context, http.MethodGet, address, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("weights of %s: %s", item.Name, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return merry.Wrap(err)
}
