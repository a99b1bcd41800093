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

// operationInput is an append of the tag, or a read if the tag is empty.
type operationInput struct{ key, tag string }

// operationOutput is the value of the register, or unknown if the client got no result.
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
		current, op, result := state.(string), in.(operationInput), out.(operationOutput)
		next := current + op.tag
		return result.unknown || result.value == next, next
	},
}

func key(index int) string { return fmt.Sprintf("k%d", index) }

func settings() register.Settings {
	chosen := register.DefaultSettings()
	chosen.RequestTimeout = 100 * time.Millisecond
	return chosen
}

// clientViews is the register.Views of a client without a replica.
type clientViews struct{ *shard.Map }

func (clientViews) ConfigurationVersion() uint64               { return 0 }
func (clientViews) LearnConfiguration(context.Context, uint64) {}

// runClient appends and reads until the run ends.
func (m *modelRun) runClient(ctx context.Context, number int, views *shard.Map) {
	random := rand.New(rand.NewPCG(uint64(number), 1))
	node := fmt.Sprintf("client-%d", number)
	chosen := settings()
	if number%2 == 1 {
		chosen.FastRoundTimeout = 30 * time.Millisecond
	}
	starts := uint64(2)
	start := func() *register.Client {
		// Rounds of the previous client may still use its random source.
		backoff := rand.New(rand.NewPCG(uint64(number), starts))
		starts++
		return register.NewClient(node, link{m.network, node}, clientViews{views}, register.SystemClock{}, backoff, chosen)
	}
	client := start()
	for count := 0; ctx.Err() == nil; count++ {
		if random.IntN(12) == 0 {
			// Restart in the same incarnation, without remembering the ballots that were used.
			client = start()
		}
		op := operationInput{key: key(random.IntN(modelKeys))}
		if random.IntN(3) > 0 {
			op.tag = fmt.Sprintf("%d-%d.", number, count)
		}
		attempt, cancel := context.WithTimeout(ctx, 2*time.Second)
		if op.tag == "" || m.putTurn(attempt, node, views, turnOf(op)) {
			m.apply(attempt, client, number, op)
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

func turnOf(op operationInput) replica.Turn {
	return replica.Turn{Program: op.key, Digest: sha256.Sum256([]byte(op.tag)), Object: []byte(op.tag)}
}

// putTurn stores a turn on a majority of one view, before a register refers to it.
func (m *modelRun) putTurn(ctx context.Context, node string, views *shard.Map, turn replica.Turn) bool {
	for ctx.Err() == nil {
		view, _ := views.View(0)
		granted := make(chan bool, len(view.Members))
		for _, member := range view.Members {
			go func() {
				fence := register.Fence{Epoch: view.Epoch, Replica: member.Incarnation}
				reply, err := link{m.network, node}.PutTurn(ctx, member, fence, turn)
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

// apply runs one operation and adds it and its result to the history.
func (m *modelRun) apply(ctx context.Context, client *register.Client, number int, op operationInput) bool {
	began := time.Now()
	var result operationOutput
	value, err := client.Apply(ctx, 0, op.key, func(current []byte) ([]byte, error) {
		// The tag shows that the append was applied by an earlier attempt.
		if op.tag == "" || strings.Contains(string(current), op.tag) {
			return current, nil
		}
		return append(slices.Clone(current), op.tag...), nil
	})
	ended := time.Now().UnixNano()
	switch {
	case err == nil && op.tag == "":
		result.value = string(value)
	case err == nil:
		before, _, _ := strings.Cut(string(value), op.tag)
		result.value = before + op.tag
	case errors.Is(err, register.ErrUnknownOutcome):
		result.unknown = true
		ended = int64(1) << 62
	default:
		return false
	}
	m.historyMutex.Lock()
	defer m.historyMutex.Unlock()
	m.history = append(m.history, porcupine.Operation{
		ClientId: number, Input: op, Output: result, Call: began.UnixNano(), Return: ended,
	})
	return !result.unknown
}
