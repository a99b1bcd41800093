package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	lineSoakSeeds = flag.Int("linesoak.seeds", 1, "number of seeds of TestLongLinesOutliveFaults")
	lineSoakFirst = flag.Uint64("linesoak.first", 1, "first of these seeds")
	lineSoakTime  = flag.Duration("linesoak.time", longLineTime, "how long lines are continued and faults injected for each seed")
)

const (
	lineSoakClients = 12
	// lineSoakLines is the greatest number of lines that one client continues in turn.
	lineSoakLines = 3
	// lineSoakPause is the greatest time between two turns of a client.
	lineSoakPause = 500 * time.Millisecond
	// A client takes one in so many turns through another zone, on the other route, or as the
	// first turn of a fork.
	lineSoakMoves  = 6
	lineSoakRoutes = 5
	lineSoakForks  = 20
)

// lineSoakClient continues some lines.
type lineSoakClient struct {
	*lineClients
	random *rand.Rand
	name   string
	lines  []*turnLine
	zone   int
	began  int
}

// takeTurns takes turns until the time.
func (c *lineSoakClient) takeTurns(until time.Time) {
	for time.Now().Before(until) {
		if c.random.IntN(lineSoakMoves) == 0 {
			c.zone = c.random.IntN(longLineZones)
		}
		c.takeTurn(c.nextLine(), c.zone, c.nextRoute())
		time.Sleep(time.Duration(c.random.Int64N(int64(lineSoakPause))))
	}
}

// nextLine returns one of the client's lines, or begins or forks one.
func (c *lineSoakClient) nextLine() *turnLine {
	if len(c.lines) == 0 {
		c.add(&turnLine{program: c.newProgram()})
	}
	index := c.random.IntN(len(c.lines))
	chosen := c.lines[index]
	switch {
	case chosen.ended:
		c.lines[index] = &turnLine{program: c.newProgram()}
		return c.lines[index]
	case c.random.IntN(lineSoakForks) > 0:
		return chosen
	case c.random.IntN(2) == 0:
		return c.add(chosen.fork(chosen.program))
	default:
		return c.add(chosen.fork(c.newProgram()))
	}
}

// add adds a line, in place of another one if there are too many.
func (c *lineSoakClient) add(line *turnLine) *turnLine {
	if len(c.lines) < lineSoakLines {
		c.lines = append(c.lines, line)
	} else {
		c.lines[c.random.IntN(len(c.lines))] = line
	}
	return line
}

func (c *lineSoakClient) nextRoute() string {
	if c.random.IntN(lineSoakRoutes) == 0 {
		return shortRoute
	}
	return longRoute
}

func (c *lineSoakClient) newProgram() string {
	c.began++
	return fmt.Sprintf("%s-%d", c.name, c.began)
}

// TestLongLinesOutliveFaults guards against turns that are unknown within their retention, on
// lines that outlive their first copies, while storage nodes lose processes and disks one after
// the other and lines change zones, routes and programs.
func TestLongLinesOutliveFaults(t *testing.T) {
	t.Parallel()
	for index := range *lineSoakSeeds {
		seed := *lineSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newLongLineSoak(t, seed)
			s.addresses = append(s.addresses, make([]string, longLineZones)...)
			clients := newLineClients(s)
			clients.awaitServing(0, longLineZones)
			var all []*lineSoakClient
			var running sync.WaitGroup
			until := time.Now().Add(*lineSoakTime)
			for number := range lineSoakClients {
				client := &lineSoakClient{
					lineClients: clients, random: rand.New(rand.NewPCG(seed, uint64(number))), name: fmt.Sprint("client-", number), zone: number % longLineZones,
				}
				all = append(all, client)
				running.Go(func() { client.takeTurns(until) })
			}
			s.inject(*lineSoakTime - *turnSoakCatchUp)
			s.startUnusedGateways(clients)
			running.Wait()
			killed := s.firstInMostSets()
			killed.process.Kill()
			s.log("%s killed", killed.name)
			for _, client := range all {
				for _, line := range client.lines {
					unused := longLineZones + client.random.IntN(longLineZones)
					running.Go(func() { clients.takeTurn(line, unused, longRoute) })
				}
			}
			running.Wait()
			clients.report()
			assert.Assert(t, clients.whole > lineSoakClients)
		})
	}
}

// startUnusedGateways starts a gateway in each zone that has served no turn of a line.
func (s *turnSoak) startUnusedGateways(clients *lineClients) {
	for zone := range longLineZones {
		s.addGateway(longLineZones + zone)
	}
	clients.awaitServing(longLineZones, longLineZones)
}
