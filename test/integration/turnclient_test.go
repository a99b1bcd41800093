package integration

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/state/result"
)

const (
	// turnPatience is how long a client waits for one answer.
	turnPatience = 2 * time.Second
	// turnsOfProgram is the number of turns in a row that a program takes.
	turnsOfProgram = 8
	// turnMaxBody limits the answers of failures that are kept for the report.
	turnMaxBody = 300
	// turnFreshFraction is one in how many turns continues any earlier turn.
	turnFreshFraction = 6
	// turnBudget holds the tokens of some lines of turns and of some tries that broke off.
	turnBudget    = 6000
	turnMaxTokens = 1000
	turnStride    = 25 // tokens of one event
	// turnSettleTime is how long a turn that has ended may still count at its most.
	turnSettleTime = time.Second
	// turnTriesInARow is how many refusals for a reserved budget one turn may get.
	turnTriesInARow = 5
)

// storedTurn is a turn that was answered whole.
type storedTurn struct {
	id, program, previous string
	// input is the input of the turn, after those of the turns before.
	inputs []string
	at     time.Time
}

// turnClients are clients that take turns of programs all the time.
type turnClients struct {
	t       *testing.T
	soak    *turnSoak
	stopped chan struct{}
	running sync.WaitGroup

	mutex  sync.Mutex
	stored []storedTurn
	whole  int
	// answers counts the answers by status and type of failure.
	answers map[string]int
	faults  []string
	// spent counts the tokens of each program, those of tries in progress or broken off at
	// their most.
	spent map[string]int
	// continued is the time of the last turn of each client that continued another one.
	continued []time.Time
}

func newTurnClients(s *turnSoak, seed uint64) *turnClients {
	c := &turnClients{
		t: s.t, soak: s, stopped: make(chan struct{}), answers: make(map[string]int), spent: make(map[string]int), continued: make([]time.Time, turnSoakClients),
	}
	for index := range turnSoakClients {
		random := rand.New(rand.NewPCG(seed, uint64(1000+index)))
		client := newTurnHTTPClient()
		c.running.Go(func() {
			defer client.CloseIdleConnections()
			for number := 0; !c.isStopped(); number++ {
				c.runProgram(client, random, index, fmt.Sprintf("p%d-%d", index, number))
			}
		})
	}
	return c
}

func newTurnHTTPClient() *http.Client {
	return &http.Client{Timeout: turnPatience, Transport: &http.Transport{}}
}

func (c *turnClients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *turnClients) stop() {
	close(c.stopped)
	c.running.Wait()
}

// runProgram takes the turns of a program, each until it was answered whole.
func (c *turnClients) runProgram(client *http.Client, random *rand.Rand, index int, program string) {
	previous := storedTurn{}
	for number := 0; number < turnsOfProgram && !c.isStopped(); number++ {
		from, owner := previous, program
		if number > 0 && random.IntN(turnFreshFraction) == 0 {
			from = c.anyStored(random)
			owner = from.program
		}
		reserved := 0
		for try := 0; !c.isStopped(); try++ {
			turn, outcome := c.try(client, random, fmt.Sprintf("%s-%d-%d", program, number, try), owner, from)
			if outcome == turnRejected {
				return
			}
			if outcome == turnReserved {
				if reserved++; reserved == turnTriesInARow {
					c.count("turns with five times budget_reserved")
				}
			}
			if outcome == turnWhole {
				if from.id != "" {
					c.noteContinued(index)
				}
				previous = turn
				break
			}
			time.Sleep(time.Duration(20+random.IntN(150)) * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

func (c *turnClients) noteContinued(index int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.continued[index] = time.Now()
}

func (c *turnClients) anyStored(random *rand.Rand) storedTurn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stored[random.IntN(len(c.stored))]
}

type turnOutcome int

const (
	turnWhole turnOutcome = iota
	// turnFailed turns may be tried again.
	turnFailed
	// turnReserved turns may be tried again: the rest of the budget is reserved.
	turnReserved
	// turnRejected turns are refused for good.
	turnRejected
)

// try sends one request at a random gateway.
func (c *turnClients) try(client *http.Client, random *rand.Rand, id, program string, from storedTurn) (storedTurn, turnOutcome) {
	address := c.soak.anyAddress(random)
	if address == "" {
		return storedTurn{}, turnFailed
	}
	input := "in " + id + " "
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/turns/x", strings.NewReader(input))
	if err != nil {
		return storedTurn{}, turnFailed
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		runner.HeaderID: id, "X-Program-Id": program, "X-Token-Budget": strconv.Itoa(turnBudget), "X-Token-Usage": fmt.Sprintf("10,%d", turnMaxTokens),
		"X-Deadline-Ms": strconv.FormatInt(turnPatience.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	if from.id != "" {
		request.Header.Set("X-Previous-Turn", from.id)
	}
	c.spend(program, turnMaxTokens)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		c.count("no answer")
		return storedTurn{}, turnFailed
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		time.AfterFunc(turnSettleTime, func() { c.spend(program, -turnMaxTokens) })
		return storedTurn{}, c.refused(response, id, program, address, began, from)
	}
	lines, used := bufio.NewScanner(response.Body), 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			used += turnStride
		}
	}
	if lines.Err() != nil {
		c.count("broken")
		return storedTurn{}, turnFailed
	}
	time.AfterFunc(turnSettleTime, func() { c.spend(program, used-turnMaxTokens) })
	turn := storedTurn{id: id, program: program, previous: from.id, inputs: append(append([]string(nil), from.inputs...), input), at: time.Now()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.whole++
	c.answers["200"]++
	c.stored = append(c.stored, turn)
	return turn, turnWhole
}

// refused counts a failure. A turn is missing if it was answered whole within the retention.
func (c *turnClients) refused(response *http.Response, id, program, address string, began time.Time, from storedTurn) turnOutcome {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, turnMaxBody))
	body := string(raw)
	c.count(fmt.Sprintf("%d %s", response.StatusCode, failureType(body)))
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		if time.Since(from.at) < turnSoakRetention {
			c.fault("%s: turn %s, answered whole at %s, is %d at %s for request %s sent at %s: %s", clockTime(time.Now()), from.id,
				clockTime(from.at), response.StatusCode, address, id, clockTime(began), body)
		}
		return turnRejected
	case http.StatusPaymentRequired:
		if spent := c.spend(program, 0) - turnMaxTokens; spent+turnMaxTokens <= turnBudget {
			c.count("402 too early")
			c.soak.log("program %s: 402 for request %s sent at %s though at most %d of %d tokens are spent", program, id, clockTime(began),
				spent, turnBudget)
		}
		return turnRejected
	case http.StatusServiceUnavailable:
		if failureType(body) == result.BudgetReserved.Info().Name {
			return turnReserved
		}
	}
	return turnFailed
}

func clockTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// failureType returns the name of the result code in the body of a failure.
func failureType(body string) string {
	_, after, _ := strings.Cut(body, `"type":"`)
	name, _, _ := strings.Cut(after, `"`)
	return name
}

// spend adds tokens to those of the program and returns their number.
func (c *turnClients) spend(program string, tokens int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.spent[program] += tokens
	return c.spent[program]
}

func (c *turnClients) count(answer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers[answer]++
}

func (c *turnClients) fault(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}
