package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/coordination/quarantine"
)

// Crashes keeps the crashes under requests. quarantine.Table implements it.
type Crashes interface {
	Report(crash quarantine.Crash) quarantine.Record
	AwaitFollowers(ctx context.Context, fingerprint quarantine.Fingerprint) bool
	NoteSend(send quarantine.Send) (before, after quarantine.Record)
	DropSend(fingerprint quarantine.Fingerprint, id quarantine.SendID)
	Clear(fingerprint quarantine.Fingerprint)
	Find(fingerprint quarantine.Fingerprint) quarantine.Record
	Watch(ctx context.Context, follower quarantine.FollowerID, from quarantine.Cursor, wait time.Duration) quarantine.Changes
}

var _ quarantine.Nodes = (*Client)(nil)

// errBadFingerprint is returned for a fingerprint of another size than that of this build.
var errBadFingerprint = merry.Sentinel("the fingerprint has an unknown size")

// ReportCrash implements quarantine.Nodes.
func (c *Client) ReportCrash(ctx context.Context, address string, crash quarantine.Crash) (quarantine.Record, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.stubs(address).crashes.ReportCrash(ctx, connect.NewRequest(&peerv1.ReportCrashRequest{
		Fingerprint: crash.Fingerprint[:], Send: uint64(crash.Send), Instance: crash.Instance,
		SentAgoUs: crash.SentAgo.Microseconds(), EndedAgoUs: crash.EndedAgo.Microseconds(), Row: uint32(crash.Row),
		RanAfterUs: crash.RanAfter.Microseconds(), SeenAfterUs: crash.SeenAfter.Microseconds(),
	}))
	if err != nil {
		return quarantine.Record{}, err
	}
	return crashRecordFromWire(response.Msg.GetRecord())
}

// NoteSend implements quarantine.Nodes.
func (c *Client) NoteSend(ctx context.Context, address string, send quarantine.Send) (before, after quarantine.Record, err error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.stubs(address).crashes.NoteSend(ctx, connect.NewRequest(&peerv1.NoteSendRequest{
		Fingerprint: send.Fingerprint[:], Send: uint64(send.ID), Instance: send.Instance,
		SentAgoUs: send.SentAgo.Microseconds(), EndedAgoUs: send.EndedAgo.Microseconds(),
		Open: send.IsOpen, Broken: send.IsBroken, Follower: uint64(send.Gateway), LifetimeMs: send.Lifetime.Milliseconds(),
		MayHaveEnded: send.MayHaveEnded, RanAfterUs: send.RanAfter.Microseconds(),
	}))
	if err != nil {
		return quarantine.Record{}, quarantine.Record{}, err
	}
	if before, err = crashRecordFromWire(response.Msg.GetBefore()); err != nil {
		return quarantine.Record{}, quarantine.Record{}, err
	}
	after, err = crashRecordFromWire(response.Msg.GetAfter())
	return before, after, err
}

// DropSend implements quarantine.Nodes.
func (c *Client) DropSend(ctx context.Context, address string, fingerprint quarantine.Fingerprint, id quarantine.SendID) error {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	_, err := c.stubs(address).crashes.DropSend(ctx, connect.NewRequest(&peerv1.DropSendRequest{Fingerprint: fingerprint[:], Send: uint64(id)}))
	return err
}

// ClearCrashes implements quarantine.Nodes.
func (c *Client) ClearCrashes(ctx context.Context, address string, fingerprint quarantine.Fingerprint) error {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	_, err := c.stubs(address).crashes.ClearCrashes(ctx, connect.NewRequest(&peerv1.ClearCrashesRequest{Fingerprint: fingerprint[:]}))
	return err
}

// FindCrashes implements quarantine.Nodes.
func (c *Client) FindCrashes(ctx context.Context, address string, fingerprint quarantine.Fingerprint) (quarantine.Record, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.stubs(address).crashes.FindCrashes(ctx, connect.NewRequest(&peerv1.FindCrashesRequest{Fingerprint: fingerprint[:]}))
	if err != nil {
		return quarantine.Record{}, err
	}
	return crashRecordFromWire(response.Msg.GetRecord())
}

// WatchCrashes implements quarantine.Nodes. Only the caller's context bounds it.
func (c *Client) WatchCrashes(ctx context.Context, address string, follower quarantine.FollowerID, from quarantine.Cursor, wait time.Duration) (quarantine.Changes, error) {
	response, err := c.stubs(address).crashes.WatchCrashes(ctx, connect.NewRequest(&peerv1.WatchCrashesRequest{
		Table: from.Table, Change: from.Change, WaitMs: wait.Milliseconds(), Follower: uint64(follower),
	}))
	if err != nil {
		return quarantine.Changes{}, err
	}
	message := response.Msg
	changes := quarantine.Changes{
		IsFull: message.GetFull(), Next: quarantine.Cursor{Table: message.GetTable(), Change: message.GetChange()},
	}
	for _, received := range message.GetRecords() {
		record, err := crashRecordFromWire(received)
		if err != nil {
			return quarantine.Changes{}, err
		}
		changes.Records = append(changes.Records, record)
	}
	return changes, nil
}

// crashServer serves the crashes that this node keeps.
type crashServer struct{ crashes Crashes }

var _ peerv1connect.CrashServiceHandler = (*crashServer)(nil)

// ReportCrash counts a crash and waits a while until all gateways know of it. Those of a
// crash that is reported again have known of it before.
func (s *crashServer) ReportCrash(ctx context.Context, request *connect.Request[peerv1.ReportCrashRequest]) (*connect.Response[peerv1.ReportCrashResponse], error) {
	fingerprint, err := fingerprintFromWire(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	record := s.crashes.Report(quarantine.Crash{
		Fingerprint: fingerprint, Send: quarantine.SendID(request.Msg.GetSend()), Instance: request.Msg.GetInstance(),
		SentAgo:  microseconds(request.Msg.GetSentAgoUs()),
		EndedAgo: microseconds(request.Msg.GetEndedAgoUs()),
		Row:      int(request.Msg.GetRow()),
		RanAfter: microseconds(request.Msg.GetRanAfterUs()), SeenAfter: microseconds(request.Msg.GetSeenAfterUs()),
	})
	if request.Msg.GetRow() == 0 {
		s.awaitFollowers(ctx, fingerprint)
	}
	return connect.NewResponse(&peerv1.ReportCrashResponse{Record: crashRecordToWire(record)}), nil
}

// NoteSend notes a send. Once it has ended without an outcome, it waits a while until all
// gateways know of it: the next try may come to any of them.
func (s *crashServer) NoteSend(ctx context.Context, request *connect.Request[peerv1.NoteSendRequest]) (*connect.Response[peerv1.NoteSendResponse], error) {
	fingerprint, err := fingerprintFromWire(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	before, after := s.crashes.NoteSend(quarantine.Send{
		Fingerprint: fingerprint, ID: quarantine.SendID(request.Msg.GetSend()), Instance: request.Msg.GetInstance(),
		SentAgo:  microseconds(request.Msg.GetSentAgoUs()),
		EndedAgo: microseconds(request.Msg.GetEndedAgoUs()),
		IsOpen:   request.Msg.GetOpen(), IsBroken: request.Msg.GetBroken(), Gateway: quarantine.FollowerID(request.Msg.GetFollower()),
		Lifetime:     time.Duration(request.Msg.GetLifetimeMs()) * time.Millisecond,
		MayHaveEnded: request.Msg.GetMayHaveEnded(), RanAfter: microseconds(request.Msg.GetRanAfterUs()),
	})
	if !request.Msg.GetOpen() {
		s.awaitFollowers(ctx, fingerprint)
	}
	return connect.NewResponse(&peerv1.NoteSendResponse{Before: crashRecordToWire(before), After: crashRecordToWire(after)}), nil
}

// awaitFollowers waits until all gateways that have to know of the request do, for a while at
// most.
func (s *crashServer) awaitFollowers(ctx context.Context, fingerprint quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, quarantine.FollowerGrace)
	defer cancel()
	s.crashes.AwaitFollowers(ctx, fingerprint)
}

// DropSend forgets a send.
func (s *crashServer) DropSend(_ context.Context, request *connect.Request[peerv1.DropSendRequest]) (*connect.Response[peerv1.DropSendResponse], error) {
	fingerprint, err := fingerprintFromWire(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.crashes.DropSend(fingerprint, quarantine.SendID(request.Msg.GetSend()))
	return connect.NewResponse(&peerv1.DropSendResponse{}), nil
}

// ClearCrashes forgets the crashes under a request.
func (s *crashServer) ClearCrashes(_ context.Context, request *connect.Request[peerv1.ClearCrashesRequest]) (*connect.Response[peerv1.ClearCrashesResponse], error) {
	fingerprint, err := fingerprintFromWire(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.crashes.Clear(fingerprint)
	return connect.NewResponse(&peerv1.ClearCrashesResponse{}), nil
}

// FindCrashes returns the record of a request.
func (s *crashServer) FindCrashes(_ context.Context, request *connect.Request[peerv1.FindCrashesRequest]) (*connect.Response[peerv1.FindCrashesResponse], error) {
	fingerprint, err := fingerprintFromWire(request.Msg.GetFingerprint())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&peerv1.FindCrashesResponse{Record: crashRecordToWire(s.crashes.Find(fingerprint))}), nil
}

// WatchCrashes waits for changes of the table.
func (s *crashServer) WatchCrashes(ctx context.Context, request *connect.Request[peerv1.WatchCrashesRequest]) (*connect.Response[peerv1.WatchCrashesResponse], error) {
	from := quarantine.Cursor{Table: request.Msg.GetTable(), Change: request.Msg.GetChange()}
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxWatchWait)
	changes := s.crashes.Watch(ctx, quarantine.FollowerID(request.Msg.GetFollower()), from, wait)
	response := &peerv1.WatchCrashesResponse{Table: changes.Next.Table, Change: changes.Next.Change, Full: changes.IsFull}
	for _, record := range changes.Records {
		response.Records = append(response.Records, crashRecordToWire(record))
	}
	return connect.NewResponse(response), nil
}

func crashRecordToWire(record quarantine.Record) *peerv1.CrashRecord {
	message := &peerv1.CrashRecord{
		Fingerprint: record.Fingerprint[:], Crashes: uint32(record.Crashes), Suspected: uint32(record.Suspected), Resolved: record.IsResolved,
		RemainingMs: record.Remaining.Milliseconds(), ClearedAgoUs: record.ClearedAgo.Microseconds(),
	}
	for _, try := range record.Tries {
		message.Tries = append(message.Tries, &peerv1.CrashTry{
			Send: uint64(try.Send), Instance: try.Instance, SentAgoUs: try.SentAgo.Microseconds(), EndedAgoUs: try.EndedAgo.Microseconds(),
			RanAfterUs: try.RanAfter.Microseconds(), SeenAfterUs: try.SeenAfter.Microseconds(), Crash: try.IsCrash,
		})
	}
	return message
}

func crashRecordFromWire(message *peerv1.CrashRecord) (quarantine.Record, error) {
	fingerprint, err := fingerprintFromWire(message.GetFingerprint())
	crashes := int(message.GetCrashes())
	var tries []quarantine.Try
	for _, try := range message.GetTries() {
		tries = append(tries, quarantine.Try{
			Send: quarantine.SendID(try.GetSend()), Instance: try.GetInstance(),
			SentAgo: microseconds(try.GetSentAgoUs()), EndedAgo: microseconds(try.GetEndedAgoUs()),
			RanAfter: microseconds(try.GetRanAfterUs()), SeenAfter: microseconds(try.GetSeenAfterUs()), IsCrash: try.GetCrash(),
		})
	}
	return quarantine.Record{
		// Nodes of earlier builds tell the crashes alone.
		Fingerprint: fingerprint, Suspicion: quarantine.Suspicion{Crashes: crashes, Suspected: max(crashes, int(message.GetSuspected()))},
		IsResolved: message.GetResolved(), Remaining: time.Duration(message.GetRemainingMs()) * time.Millisecond,
		Tries: tries, ClearedAgo: microseconds(message.GetClearedAgoUs()),
	}, err
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

func fingerprintFromWire(encoded []byte) (fingerprint quarantine.Fingerprint, err error) {
	if len(encoded) != len(fingerprint) {
		return fingerprint, errBadFingerprint
	}
	return quarantine.Fingerprint(encoded), nil
}
