package scale

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/deployment"
)

// groupOptions describe a group: nodes that share a process.
type groupOptions struct {
	Platform string
	Seeds    []string
	// First is how many nodes of the system are in the groups before.
	First  int
	Nodes  int
	Zones  int
	Shards int
	// DataFolders of the nodes; empty keeps replicas in memory.
	DataFolders []string
}

// groupRequestKind says what a group is asked.
type groupRequestKind string

const (
	requestSample  groupRequestKind = "sample"
	requestVersion groupRequestKind = "version"
	// requestCrash stops the last node as a crash would.
	requestCrash  groupRequestKind = "crash"
	requestCopies groupRequestKind = "copies"
)

// groupRequest is sent to a group after its options, one at a time.
type groupRequest struct {
	Kind groupRequestKind
}

// groupReply answers the options and each request.
type groupReply struct {
	// Failure is empty on success.
	Failure string
	// Peers and Callers are the nodes' addresses.
	Peers   []string
	Callers []string
	Sample  sample
	// Version is the oldest configuration version in force at a node.
	Version uint64
	// Copies is how many replicas of shards the nodes keep together.
	Copies int
}

// ServeGroup runs the nodes that the first message of the input describes and
// answers requests until the input ends. Both directions carry JSON.
func ServeGroup(ctx context.Context, in io.Reader, out io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(out)
	var options groupOptions
	if err := decoder.Decode(&options); err != nil {
		return err
	}
	system, err := deployment.Start(ctx, deployment.Options{
		Platform: options.Platform, Seeds: options.Seeds, FirstNode: options.First,
		Nodes: options.Nodes, Zones: options.Zones, Shards: options.Shards,
		DataFolders: options.DataFolders, Logger: zap.NewNop(),
	})
	if err != nil {
		return errors.Join(err, encoder.Encode(groupReply{Failure: err.Error()}))
	}
	defer stopNodes(system)
	reply := groupReply{}
	for _, node := range system.Nodes {
		reply.Peers = append(reply.Peers, node.PeerAddress())
		reply.Callers = append(reply.Callers, node.CallerAddress())
	}
	if err := encoder.Encode(reply); err != nil {
		return err
	}
	return answerRequests(system, decoder, encoder)
}

// stopNodes stops all nodes at once and without a drain, since nothing runs on
// them any more.
func stopNodes(system *deployment.Deployment) {
	var group sync.WaitGroup
	for _, node := range system.Nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			// The measurement is over; a listener that fails to close changes
			// nothing.
			_ = node.Close()
		}()
	}
	group.Wait()
}

func answerRequests(system *deployment.Deployment, decoder *json.Decoder, encoder *json.Encoder) error {
	for {
		var request groupRequest
		err := decoder.Decode(&request)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := encoder.Encode(answerRequest(system, request)); err != nil {
			return err
		}
	}
}

func answerRequest(system *deployment.Deployment, request groupRequest) groupReply {
	var reply groupReply
	var err error
	switch request.Kind {
	case requestSample:
		reply.Sample, err = takeSample(system)
	case requestVersion:
		reply.Version, err = oldestVersion(system)
	case requestCopies:
		reply.Copies, err = replicaCopies(system)
	case requestCrash:
		last := len(system.Nodes) - 1
		err = system.Nodes[last].Close()
		system.Nodes = system.Nodes[:last]
	default:
		reply.Failure = "unknown request " + string(request.Kind)
	}
	if err != nil {
		reply.Failure = err.Error()
	}
	return reply
}
