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
	AwaitFollowers(ctx context.Context) bool
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
		Fingerprint: crash.Fingerprint[:], Instance: crash.Instance,
		SentAgoUs: crash.SentAgo.Microseconds(), EndedAgoUs: crash.EndedAgo.Microseconds(), Row: uint32(crash.Row),
	}))
	if err != nil {
		return quarantine.Record{}, err
	}
	return crashRecordFromWire(response.Msg.GetRecord())
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
		Fingerprint: fingerprint, Instance: request.Msg.GetInstance(),
		SentAgo:  time.Duration(request.Msg.GetSentAgoUs()) * time.Microsecond,
		EndedAgo: time.Duration(request.Msg.GetEndedAgoUs()) * time.Microsecond,
		Row:      int(request.Msg.GetRow()),
	})
	if request.Msg.GetRow() == 0 {
		ctx, cancel := context.WithTimeout(ctx, quarantine.FollowerGrace)
		defer cancel()
		s.crashes.AwaitFollowers(ctx)
	}
	return connect.NewResponse(&peerv1.ReportCrashResponse{Record: crashRecordToWire(record)}), nil
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
	return &peerv1.CrashRecord{
		Fingerprint: record.Fingerprint[:], Crashes: uint32(record.Crashes), RemainingMs: record.Remaining.Milliseconds(),
	}
}

func crashRecordFromWire(message *peerv1.CrashRecord) (quarantine.Record, error) {
	fingerprint, err := fingerprintFromWire(message.GetFingerprint())
	return quarantine.Record{
		Fingerprint: fingerprint, Crashes: int(message.GetCrashes()), Remaining: time.Duration(message.GetRemainingMs()) * time.Millisecond,
	}, err
}

func fingerprintFromWire(encoded []byte) (fingerprint quarantine.Fingerprint, err error) {
	if len(encoded) != len(fingerprint) {
		return fingerprint, errBadFingerprint
	}
	return quarantine.Fingerprint(encoded), nil
}
