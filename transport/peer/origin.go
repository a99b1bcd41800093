package peer

import (
	"context"
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/streamorigin"
)

// StreamOrigins keeps where streams began. streamorigin.Table implements it.
type StreamOrigins interface {
	Record(record streamorigin.Record)
	Find(key streamorigin.Key) streamorigin.Answer
}

var _ streamorigin.Nodes = (*Client)(nil)

// RecordStream implements streamorigin.Nodes.
func (c *Client) RecordStream(ctx context.Context, address string, record streamorigin.Record) error {
	_, err := c.call(ctx, address, &peerv1.Call{Request: &peerv1.Call_RecordStream{
		RecordStream: &peerv1.RecordStreamRequest{Origin: originToWire(&record)},
	}})
	return err
}

// FindStream implements streamorigin.Nodes.
func (c *Client) FindStream(ctx context.Context, address string, fence register.Fence, key streamorigin.Key) (streamorigin.Answer, error) {
	answer, err := c.call(ctx, address, &peerv1.Call{Request: &peerv1.Call_FindStream{
		FindStream: &peerv1.FindStreamRequest{Request: key.Request, Program: key.Program, Tenant: key.Tenant, Fence: fenceToWire(fence)},
	}})
	if err != nil {
		return streamorigin.Answer{}, err
	}
	response := answer.GetFindStream()
	found := response.GetOrigin()
	return streamorigin.Answer{
		Known: found != nil, Origin: streamorigin.Origin{Service: found.GetService(), Version: found.GetVersion()},
		Change: found.GetChange(), IsFinal: found.GetFinal(), Epoch: found.GetEpoch(), Members: found.GetMembers(), IsCurrent: response.GetCurrent(), IsOutdated: response.GetOutdated(),
		Age: time.Duration(response.GetAgeMs()) * time.Millisecond, RecordingFor: time.Duration(response.GetRecordingMs()) * time.Millisecond,
	}, nil
}

// fences tells which epochs of shards are served. Replica implements it.
type fences interface {
	CheckRequest(fence register.Fence) register.Refusal
}

func recordStream(origins StreamOrigins, request *peerv1.RecordStreamRequest) *peerv1.RecordStreamResponse {
	if record := originFromWire(request.GetOrigin()); record != nil {
		origins.Record(*record)
	}
	return &peerv1.RecordStreamResponse{}
}

// findStream answers a question. One of an earlier build has no fence.
func findStream(origins StreamOrigins, served fences, request *peerv1.FindStreamRequest) *peerv1.FindStreamResponse {
	answer := origins.Find(streamorigin.Key{Request: request.GetRequest(), Program: request.GetProgram(), Tenant: request.GetTenant()})
	response := &peerv1.FindStreamResponse{
		RecordingMs: answer.RecordingFor.Milliseconds(), AgeMs: answer.Age.Milliseconds(),
	}
	// A final record holds in any epoch; the replica may have to wait for its disk.
	if !answer.IsFinal && request.GetFence() != nil {
		refusal := served.CheckRequest(fenceFromWire(request.GetFence()))
		response.Current = refusal == register.RefusalNone
		response.Outdated = refusal == register.RefusalEpoch || refusal == register.RefusalSealed
	}
	if answer.Known {
		response.Origin = &peerv1.StreamOrigin{
			Service: answer.Origin.Service, Version: answer.Origin.Version, Change: answer.Change, Final: answer.IsFinal,
			Epoch: answer.Epoch, Members: answer.Members,
		}
	}
	return response
}

// originToWire converts a record; nil stands for none.
func originToWire(record *streamorigin.Record) *peerv1.StreamOrigin {
	if record == nil {
		return nil
	}
	return &peerv1.StreamOrigin{
		Request: record.Request, Program: record.Program, Tenant: record.Tenant,
		Service: record.Origin.Service, Version: record.Origin.Version,
		Change: record.Change, LifetimeMs: streamorigin.Retention.Milliseconds(), Final: record.IsFinal,
		Epoch: record.Epoch, Members: record.Members,
	}
}

// originFromWire converts a record; it returns nil if there is none.
func originFromWire(message *peerv1.StreamOrigin) *streamorigin.Record {
	if message == nil {
		return nil
	}
	return &streamorigin.Record{
		Key:    streamorigin.Key{Request: message.GetRequest(), Program: message.GetProgram(), Tenant: message.GetTenant()},
		Origin: streamorigin.Origin{Service: message.GetService(), Version: message.GetVersion()},
		Change: message.GetChange(), IsFinal: message.GetFinal(), Epoch: message.GetEpoch(), Members: message.GetMembers(),
	}
}
