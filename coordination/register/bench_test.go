package register_test

import (
	"context"
	"encoding/binary"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/register"
)

// valueSize is the assumed size of a register's value, in bytes.
const valueSize = 2048

var errRefusedByChange = errors.New("refused by the change")

// rewrite returns a new value of valueSize bytes on each call.
func rewrite(current []byte) ([]byte, error) {
	next := make([]byte, valueSize)
	copy(next, current)
	binary.LittleEndian.PutUint64(next, binary.LittleEndian.Uint64(next)+1)
	return next, nil
}

// BenchmarkApply measures changes without network latency: requests/op to all members
// for one change, and value-B/op in these requests and their answers.
func BenchmarkApply(b *testing.B) {
	for _, test := range []struct {
		name      string
		change    register.Change
		proposers int
		parallel  int
	}{
		{name: "steady", change: rewrite, proposers: 1},
		{name: "proposer changes each time", change: rewrite, proposers: 2},
		{name: "read", change: func(current []byte) ([]byte, error) { return current, nil }, proposers: 1},
		{name: "refused", change: func([]byte) ([]byte, error) { return nil, errRefusedByChange }, proposers: 1},
		{name: "64 callers at a time", change: rewrite, proposers: 1, parallel: 64},
	} {
		b.Run(test.name, func(b *testing.B) {
			cluster := newMemoryCluster("a", "b", "c")
			var clients []*register.Client
			for number := range test.proposers {
				clients = append(clients, newTestClient(string(rune('a'+number)), cluster))
			}
			_, err := clients[0].Apply(context.Background(), 0, "key", rewrite)
			if err != nil {
				b.Fatal(err)
			}
			prepares, accepts, valueBytes := cluster.counts()
			b.ReportAllocs()
			b.ResetTimer()
			if test.parallel > 0 {
				b.SetParallelism(test.parallel)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						applyOnce(b, clients[0], test.change)
					}
				})
			} else {
				for number := range b.N {
					applyOnce(b, clients[number%len(clients)], test.change)
				}
			}
			b.StopTimer()
			prepared, accepted, carried := cluster.counts()
			b.ReportMetric(float64(prepared-prepares+accepted-accepts)/float64(b.N), "requests/op")
			b.ReportMetric(float64(carried-valueBytes)/float64(b.N), "value-B/op")
		})
	}
}

func applyOnce(b *testing.B, client *register.Client, change register.Change) {
	_, err := client.Apply(context.Background(), 0, "key", change)
	if err != nil && !errors.Is(err, errRefusedByChange) {
		b.Error(err)
	}
}

// BenchmarkEncodedSize reports the encoded size of each message to or from one member for
// a value of valueSize bytes, without the headers of the transport.
func BenchmarkEncodedSize(b *testing.B) {
	const incarnation = "node-1-0123456789abcdef"
	key := "program/0123456789abcdef0123456789abcdef"
	fence := &peerv1.Fence{Shard: 200, Epoch: 3, ConfigurationVersion: 1000, Replica: incarnation}
	first := &peerv1.Ballot{Counter: 1000, Proposer: incarnation}
	value := make([]byte, valueSize)
	for unit, message := range map[string]proto.Message{
		"prepare-request-B":  &peerv1.PrepareRequest{Fence: fence, Key: key, Ballot: first},
		"prepare-response-B": &peerv1.PrepareResponse{Accepted: first, Value: value, ConfigurationVersion: 1000},
		"accept-request-B":   &peerv1.AcceptRequest{Fence: fence, Key: key, Ballot: first, Value: value, Next: first},
		"accept-response-B":  &peerv1.AcceptResponse{ConfigurationVersion: 1000},
	} {
		b.ReportMetric(float64(proto.Size(message)), unit)
	}
}
