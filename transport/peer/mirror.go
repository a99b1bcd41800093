package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
)

// Mirror serves this node's copies of the store's objects. mirror.Holder implements it.
type Mirror interface {
	Copies() []mirror.Copy
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) mirror.WatchAnswer
}

var (
	_ mirror.Fetcher = (*Client)(nil)
	_ mirror.Watcher = (*Client)(nil)
)

// maxWatchWait is the longest time that WatchMirror waits for a change, however long
// the caller asks for.
const maxWatchWait = 10 * time.Second

// FetchMirror implements mirror.Fetcher.
func (c *Client) FetchMirror(ctx context.Context, address netip.AddrPort) ([]mirror.Copy, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.stubs(address.String()).mirror.FetchMirror(ctx, connect.NewRequest(&peerv1.FetchMirrorRequest{}))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	copies := make([]mirror.Copy, 0, len(response.Msg.GetSnapshots()))
	for _, snapshot := range response.Msg.GetSnapshots() {
		copies = append(copies, copyFromWire(snapshot, now))
	}
	return copies, nil
}

func copyFromWire(snapshot *peerv1.MirroredSnapshot, now time.Time) mirror.Copy {
	received := mirror.Copy{Kind: snapshot.GetKind(), Snapshot: follow.Snapshot{At: snapshot.GetAt()}}
	if snapshot.GetAgeKnown() {
		received.ReceivedAt = now.Add(-time.Duration(snapshot.GetAgeMs()) * time.Millisecond)
	}
	for _, object := range snapshot.GetObjects() {
		received.Snapshot.Objects = append(received.Snapshot.Objects, objectFromWire(object))
	}
	return received
}

func objectFromWire(object *peerv1.MirroredObject) follow.Object {
	return follow.Object{Name: object.GetName(), Revision: object.GetRevision(), Spec: object.GetSpec(), Status: object.GetStatus()}
}

func objectToWire(object follow.Object) *peerv1.MirroredObject {
	return &peerv1.MirroredObject{Name: object.Name, Revision: object.Revision, Spec: object.Spec, Status: object.Status}
}

// WatchMirror implements mirror.Watcher. Only the caller's context bounds it.
func (c *Client) WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (mirror.WatchAnswer, error) {
	sent := time.Now()
	response, err := c.stubs(address.String()).mirror.WatchMirror(ctx, connect.NewRequest(&peerv1.WatchMirrorRequest{
		Kind: kind, Since: revision, WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return nil, err
	}
	message := response.Msg
	switch message.GetVerdict() {
	case peerv1.WatchMirrorResponse_VERDICT_CURRENT:
		return mirror.Changed{Changes: changesFromWire(message, sent)}, nil
	case peerv1.WatchMirrorResponse_VERDICT_LOST:
		return mirror.StoreLost{}, nil
	}
	return mirror.NotFollowed{}, nil
}

// changesFromWire converts the changes of a response. The staleness that the peer
// reports is subtracted from the time at which the request was sent: the peer received it
// later, so that FreshAt is never too late.
func changesFromWire(message *peerv1.WatchMirrorResponse, sent time.Time) follow.Changes {
	changes := follow.Changes{At: message.GetAt(), IsFull: message.GetWhole(), Age: time.Duration(message.GetAgeMs()) * time.Millisecond}
	if message.GetProved() {
		changes.FreshAt = sent.Add(-time.Duration(message.GetStalenessUs()) * time.Microsecond)
	}
	for _, object := range message.GetChanged() {
		changes.Events = append(changes.Events, follow.Event{Object: objectFromWire(object)})
	}
	for _, removed := range message.GetRemoved() {
		object := follow.Object{Name: removed.GetName(), Revision: removed.GetRevision()}
		changes.Events = append(changes.Events, follow.Event{Object: object, Deleted: true})
	}
	return changes
}

func changesToWire(changes follow.Changes, received time.Time) *peerv1.WatchMirrorResponse {
	message := &peerv1.WatchMirrorResponse{
		Verdict: peerv1.WatchMirrorResponse_VERDICT_CURRENT, At: changes.At, AgeMs: changes.Age.Milliseconds(),
		Whole: changes.IsFull,
	}
	if !changes.FreshAt.IsZero() {
		// Rounded up, so that the caller never takes the changes for fresher than they are.
		message.Proved, message.StalenessUs = true, received.Sub(changes.FreshAt).Microseconds()+1
	}
	for _, event := range changes.Events {
		if event.Deleted {
			message.Removed = append(message.Removed, &peerv1.MirroredObject{Name: event.Object.Name, Revision: event.Object.Revision})
			continue
		}
		message.Changed = append(message.Changed, objectToWire(event.Object))
	}
	return message
}

type mirrorServer struct {
	peerv1connect.UnimplementedMirrorServiceHandler
	mirror Mirror
}

// FetchMirror returns all copies.
func (s *mirrorServer) FetchMirror(context.Context, *connect.Request[peerv1.FetchMirrorRequest]) (*connect.Response[peerv1.FetchMirrorResponse], error) {
	response := &peerv1.FetchMirrorResponse{}
	for _, entry := range s.mirror.Copies() {
		response.Snapshots = append(response.Snapshots, copyToWire(entry, time.Now()))
	}
	return connect.NewResponse(response), nil
}

// WatchMirror waits for a change after the given revision and returns what changed.
func (s *mirrorServer) WatchMirror(ctx context.Context, request *connect.Request[peerv1.WatchMirrorRequest]) (*connect.Response[peerv1.WatchMirrorResponse], error) {
	received := time.Now()
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxWatchWait)
	response := &peerv1.WatchMirrorResponse{Verdict: peerv1.WatchMirrorResponse_VERDICT_MISSED}
	switch answer := s.mirror.Watch(ctx, request.Msg.GetKind(), request.Msg.GetSince(), wait).(type) {
	case mirror.Changed:
		response = changesToWire(answer.Changes, received)
	case mirror.StoreLost:
		response.Verdict = peerv1.WatchMirrorResponse_VERDICT_LOST
	}
	return connect.NewResponse(response), nil
}

func copyToWire(entry mirror.Copy, now time.Time) *peerv1.MirroredSnapshot {
	snapshot := &peerv1.MirroredSnapshot{Kind: entry.Kind, At: entry.Snapshot.At, AgeKnown: !entry.ReceivedAt.IsZero()}
	if snapshot.AgeKnown {
		snapshot.AgeMs = now.Sub(entry.ReceivedAt).Milliseconds()
	}
	for _, object := range entry.Snapshot.Objects {
		snapshot.Objects = append(snapshot.Objects, objectToWire(object))
	}
	return snapshot
}
