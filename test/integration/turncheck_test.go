package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marblering/marblering/test/harness"
)

// awaitWhole waits until more turns than the given number were answered whole.
func (c *turnClients) awaitWhole(than int) {
	c.t.Helper()
	harness.Eventually(c.t, func() (bool, string) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.whole > than, "no turn is served"
	})
}

// awaitRecovery waits until each client has continued a turn since the time.
func (c *turnClients) awaitRecovery(since time.Time) {
	c.t.Helper()
	harness.Eventually(c.t, func() (bool, string) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		waiting := 0
		for _, at := range c.continued {
			if at.Before(since) {
				waiting++
			}
		}
		return waiting == 0, fmt.Sprintf("%d clients have continued no turn since all restarted", waiting)
	})
	c.soak.log("each client continued a turn %v after the restart of all", time.Since(since).Round(time.Millisecond))
}

// continueAll continues each turn that was answered whole and that no other one continues,
// at gateways that have just restarted and have to read it and all turns before.
func (c *turnClients) continueAll() {
	for _, g := range c.soak.gateways {
		g.process.Kill()
		c.soak.startGateway(g)
	}
	stored := c.lastTurns()
	next := make(chan storedTurn)
	var workers sync.WaitGroup
	for index := range turnSoakClients {
		random := rand.New(rand.NewPCG(uint64(index), 1))
		client := newTurnHTTPClient()
		workers.Go(func() {
			defer client.CloseIdleConnections()
			for turn := range next {
				c.continueOne(client, random, turn)
			}
		})
	}
	for _, turn := range stored {
		next <- turn
	}
	close(next)
	workers.Wait()
	c.soak.log("%d lines of turns were to be continued", len(stored))
}

// lastTurns returns the turns that no other one continues.
func (c *turnClients) lastTurns() []storedTurn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isContinued := make(map[string]bool, len(c.stored))
	for _, turn := range c.stored {
		isContinued[turn.previous] = true
	}
	var last []storedTurn
	for _, turn := range c.stored {
		if !isContinued[turn.id] {
			last = append(last, turn)
		}
	}
	return last
}

// continueOne continues a turn in a program of its own, whose budget is unused.
func (c *turnClients) continueOne(client *http.Client, random *rand.Rand, from storedTurn) {
	deadline := time.Now().Add(harness.Generous)
	for try := 0; time.Now().Before(deadline); try++ {
		if _, outcome := c.try(client, random, fmt.Sprintf("%s-again-%d", from.id, try), "again-"+from.id, from); outcome != turnFailed && outcome != turnReserved {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.fault("turn %s, answered whole at %s, can't be continued", from.id, clockTime(from.at))
}

// report logs the counts and fails the test if there are faults. It also checks that each
// run had the inputs of the turns before.
func (c *turnClients) report() {
	c.t.Helper()
	c.checkRuns()
	c.soak.log("%d turns whole, answers: %v", c.whole, c.answers)
	for _, fault := range c.faults {
		c.t.Error(fault)
	}
}

// checkRuns reports runs whose body lacks an input of an earlier turn.
func (c *turnClients) checkRuns() {
	inputs := make(map[string][]string, len(c.stored))
	for _, turn := range c.stored {
		inputs[turn.id] = turn.inputs
	}
	for _, instance := range c.soak.instances {
		for _, run := range instance.Runs() {
			rest, complete := run.Body, true
			for _, input := range inputs[run.ID] {
				_, after, found := strings.Cut(rest, input)
				rest, complete = after, complete && found
			}
			if !complete {
				c.fault("the run of turn %s lacks inputs of earlier turns", run.ID)
			}
		}
	}
}
