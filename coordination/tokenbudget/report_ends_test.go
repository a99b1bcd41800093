package tokenbudget_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/test/bubble"
)

// endRecorder grants every reservation and records the ended turns by the address of the
// host that was told.
type endRecorder struct {
	mutex sync.Mutex
	ended map[string]int
	// reported holds the times of the reports of each reservation.
	reported map[string][]time.Time
	// silent hosts don't answer reports of ended turns.
	silent map[string]bool
	// failures is the number of next reports that each host fails.
	failures map[string]int
}

func newEndRecorder() *endRecorder {
	return &endRecorder{ended: make(map[string]int), reported: make(map[string][]time.Time), silent: make(map[string]bool), failures: make(map[string]int)}
}

func (*endRecorder) Reserve(context.Context, string, tokenbudget.Reservation, []tokenbudget.EndedTurn) error {
	return nil
}

func (r *endRecorder) End(ctx context.Context, address string, ended []tokenbudget.EndedTurn) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, turn := range ended {
		r.reported[turn.Reservation] = append(r.reported[turn.Reservation], time.Now())
	}
	if r.silent[address] {
		r.mutex.Unlock()
		<-ctx.Done()
		r.mutex.Lock()
		return ctx.Err()
	}
	if r.failures[address] > 0 {
		r.failures[address]--
		return errAnswerLost
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.ended[address] += len(ended)
	return nil
}

func (r *endRecorder) endedAt(address string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended[address]
}

// programViews has a set of its own, of one host, for each program.
type programViews struct{ count uint32 }

func (v programViews) View(shard uint32) (register.View, bool) {
	host := hostOf(shard)
	return register.View{Shard: shard, Epoch: 1, Members: []register.Member{{Node: host, Address: host}}}, true
}

func (v programViews) Locate(program string) uint32 {
	for shard := range v.count {
		if program == hostOf(shard) {
			return shard
		}
	}
	return 0
}

func hostOf(shard uint32) string { return fmt.Sprint("host", shard) }

const endHosts = 8

// endTurnAtEachHost lets one turn begin and end at each host.
func endTurnAtEachHost(t *testing.T, client *tokenbudget.Client) {
	t.Helper()
	for shard := range uint32(endHosts) {
		program := hostOf(shard)
		reservation := tokenbudget.Reservation{Program: program, Name: program, ProgramLimit: 1000, MaxTokens: 100, Lifetime: time.Minute}
		assert.NilError(t, client.Reserve(t.Context(), reservation))
		client.End(tokenbudget.EndedTurn{Program: program, Reservation: program, TokensUsed: 40})
	}
}

func newEndClient(recorder *endRecorder) *tokenbudget.Client {
	return tokenbudget.NewClient(recorder, programViews{endHosts}, reach.New(time.Now), time.Now, zap.NewNop())
}

// awaitReports lets the reports that are still repeated end before the bubble does.
func awaitReports() { time.Sleep(time.Minute) }

// TestSilentHostKeepsNoReportsFromOthers guards against a flush in which one host that
// doesn't answer uses the time of the others, whose programs stay charged.
func TestSilentHostKeepsNoReportsFromOthers(t *testing.T) {
	for silent := range uint32(endHosts) {
		bubble.Test(t, func(t *testing.T) {
			recorder := newEndRecorder()
			recorder.silent[hostOf(silent)] = true
			client := newEndClient(recorder)
			defer awaitReports()
			endTurnAtEachHost(t, client)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			client.Flush(ctx)
			for shard := range uint32(endHosts) {
				if shard != silent {
					assert.Equal(t, recorder.endedAt(hostOf(shard)), 1, "%s isn't told that its turn ended", hostOf(shard))
				}
			}
		})
	}
}

// assertAllTold checks that each host was told once that its turn ended.
func (r *endRecorder) assertAllTold(t *testing.T) {
	t.Helper()
	for shard := range uint32(endHosts) {
		assert.Equal(t, r.endedAt(hostOf(shard)), 1, "%s isn't told that its turn ended", hostOf(shard))
	}
}

// TestFlushRepeatsFailedReports guards against a flush that drops the ended turns of a host
// after one failed report though its time isn't over.
func TestFlushRepeatsFailedReports(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		recorder := newEndRecorder()
		for shard := range uint32(endHosts) {
			recorder.failures[hostOf(shard)] = 1
		}
		client := newEndClient(recorder)
		defer awaitReports()
		endTurnAtEachHost(t, client)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		client.Flush(ctx)
		recorder.assertAllTold(t)
	})
}

// TestFlushWaitsForReportsUnderWay guards against a process that exits while ended turns
// whose first report failed wait for the next one.
func TestFlushWaitsForReportsUnderWay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		recorder := newEndRecorder()
		for shard := range uint32(endHosts) {
			recorder.failures[hostOf(shard)] = 1
		}
		client := newEndClient(recorder)
		defer awaitReports()
		endTurnAtEachHost(t, client)
		// The first reports have failed, and the next ones aren't due yet.
		time.Sleep(400 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		client.Flush(ctx)
		recorder.assertAllTold(t)
	})
}

// TestFailedReportsKeepTheirPause guards against ended turns that are given up early
// because further turns end at their host meanwhile.
func TestFailedReportsKeepTheirPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		recorder := newEndRecorder()
		host := hostOf(0)
		recorder.failures[host] = 1 << 20
		client := newEndClient(recorder)
		defer awaitReports()
		for number := range 400 {
			name := fmt.Sprint("turn", number)
			reservation := tokenbudget.Reservation{Program: host, Name: name, ProgramLimit: 1000, MaxTokens: 100, Lifetime: time.Minute}
			assert.NilError(t, client.Reserve(t.Context(), reservation))
			client.End(tokenbudget.EndedTurn{Program: host, Reservation: name, TokensUsed: 40})
			time.Sleep(10 * time.Millisecond)
			if number%20 == 0 {
				time.Sleep(time.Second)
			}
		}
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		for name, times := range recorder.reported {
			for index := 1; index < len(times); index++ {
				pause := times[index].Sub(times[index-1])
				assert.Check(t, pause >= 300*time.Millisecond, "%s is reported again after %v", name, pause)
			}
		}
		assert.Assert(t, len(recorder.reported) > 0)
	})
}
