package shard_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// operationInput is one operation: an append of the tag, or a read where it is empty.
type operationInput struct{ key, tag string }

// operationOutput is the register's value; unknown where nobody was told.
type operationOutput struct {
	value   string
	unknown bool
}

// appendModel is a register to which tags are appended.
var appendModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, modelKeys)
		for _, operation := range history {
			index := int(operation.Input.(operationInput).key[1] - '0')
			parts[index] = append(parts[index], operation)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		current, asked, told := state.(string), in.(operationInput), out.(operationOutput)
		next := current + asked.tag
		return told.unknown || told.value == next, next
	},
}

func key(index int) string { return fmt.Sprintf("k%d", index) }

func settings() register.Settings {
	chosen := register.DefaultSettings()
	chosen.RequestTimeout = 100 * time.Millisecond
	return chosen
}

// clientViews are the views of a client without a replica.
type clientViews struct{ *shard.Map }

func (clientViews) ConfigurationVersion() uint64               { return 0 }
func (clientViews) LearnConfiguration(context.Context, uint64) {}

// runClient appends and reads until the run ends.
func (w *modelRun) runClient(ctx context.Context, number int, views *shard.Map) {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	node := fmt.Sprintf("client-%d", number)
	chosen := settings()
	if number%2 == 1 {
		chosen.FreshPatience = 30 * time.Millisecond
	}
	starts := uint64(2)
	start := func() *register.Client {
		// Rounds of the client before may still use its random source.
		backoff := rand.New(rand.NewPCG(uint64(number), starts))
		starts++
		return register.NewClient(node, link{w.network, node}, clientViews{views}, register.SystemClock{}, backoff, chosen)
	}
	client := start()
	for count := 0; ctx.Err() == nil; count++ {
		if random.IntN(12) == 0 {
			// A restart in the same incarnation, without the ballots used before.
			client = start()
		}
		asked := operationInput{key: key(random.IntN(modelKeys))}
		if random.IntN(3) > 0 {
			asked.tag = fmt.Sprintf("%d-%d.", number, count)
		}
		attempt, cancel := context.WithTimeout(ctx, 2*time.Second)
		if asked.tag == "" || w.putTurn(attempt, node, views, turnOf(asked)) {
			w.apply(attempt, client, number, asked)
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

func turnOf(asked operationInput) replica.Turn {
	return replica.Turn{Program: asked.key, Digest: sha256.Sum256([]byte(asked.tag)), Object: []byte(asked.tag)}
}

// putTurn stores a turn on a majority of one view, before it is referred to.
func (w *modelRun) putTurn(ctx context.Context, node string, views *shard.Map, turn replica.Turn) bool {
	for ctx.Err() == nil {
		view, _ := views.View(0)
		granted := make(chan bool, len(view.Members))
		for _, member := range view.Members {
			go func() {
				fence := register.Fence{Epoch: view.Epoch, Replica: member.Incarnation}
				reply, err := link{w.network, node}.PutTurn(ctx, member, fence, turn)
				if reply.View != nil {
					views.Learn(*reply.View)
				}
				granted <- err == nil && reply.Refusal == register.RefusalNone
			}()
		}
		count := 0
		for range view.Members {
			if <-granted {
				count++
			}
		}
		if count >= view.Quorum() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// apply runs one operation and notes what its caller was told.
func (w *modelRun) apply(ctx context.Context, client *register.Client, number int, asked operationInput) bool {
	began := time.Now()
	var told operationOutput
	value, err := client.Apply(ctx, 0, asked.key, func(current []byte) ([]byte, error) {
		// An append that is there already is recognised by its tag.
		if asked.tag == "" || strings.Contains(string(current), asked.tag) {
			return current, nil
		}
		return append(slices.Clone(current), asked.tag...), nil
	})
	ended := time.Now().UnixNano()
	switch {
	case err == nil && asked.tag == "":
		told.value = string(value)
	case err == nil:
		before, _, _ := strings.Cut(string(value), asked.tag)
		told.value = before + asked.tag
	case errors.Is(err, register.ErrUnknownOutcome):
		told.unknown = true
		ended = int64(1) << 62
	default:
		return false
	}
	w.historyMutex.Lock()
	defer w.historyMutex.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: number, Input: asked, Output: told, Call: began.UnixNano(), Return: ended,
	})
	return !told.unknown
}
