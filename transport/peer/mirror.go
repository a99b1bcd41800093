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

// Mirror gives copies of what the store had. mirror.Holder is one.
type Mirror interface {
	Copies() []mirror.Copy
}

var _ mirror.Source = (*Client)(nil)

// FetchMirror implements mirror.Source.
func (c *Client) FetchMirror(ctx context.Context, address netip.AddrPort) ([]mirror.Copy, error) {
	ctx, cancel := c.bound(ctx)
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
		received.Heard = now.Add(-time.Duration(snapshot.GetAgeMs()) * time.Millisecond)
	}
	for _, object := range snapshot.GetObjects() {
		received.Snapshot.Objects = append(received.Snapshot.Objects, follow.Object{
			Name: object.GetName(), Revision: object.GetRevision(), Spec: object.GetSpec(), Status: object.GetStatus(),
		})
	}
	return received
}

type mirrorServer struct {
	peerv1connect.UnimplementedMirrorServiceHandler
	mirror Mirror
}

// FetchMirror answers with all copies.
func (s *mirrorServer) FetchMirror(context.Context, *connect.Request[peerv1.FetchMirrorRequest]) (*connect.Response[peerv1.FetchMirrorResponse], error) {
	response := &peerv1.FetchMirrorResponse{}
	for _, kept := range s.mirror.Copies() {
		response.Snapshots = append(response.Snapshots, copyToWire(kept, time.Now()))
	}
	return connect.NewResponse(response), nil
}

func copyToWire(kept mirror.Copy, now time.Time) *peerv1.MirroredSnapshot {
	snapshot := &peerv1.MirroredSnapshot{Kind: kept.Kind, At: kept.Snapshot.At, AgeKnown: !kept.Heard.IsZero()}
	if snapshot.AgeKnown {
		snapshot.AgeMs = now.Sub(kept.Heard).Milliseconds()
	}
	for _, object := range kept.Snapshot.Objects {
		snapshot.Objects = append(snapshot.Objects, &peerv1.MirroredObject{
			Name: object.Name, Revision: object.Revision, Spec: object.Spec, Status: object.Status,
		})
	}
	return snapshot
}
