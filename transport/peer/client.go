package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// gzipName is the compression that connect accepts by default.
const gzipName = "gzip"

// Client sends requests to other nodes. It implements the interfaces by which
// coordination packages call peers, and is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
	options []connect.ClientOption
	metrics *Metrics
	// cachedStubs maps addresses to *stubs. cachedCount is their approximate number.
	cachedStubs sync.Map
	cachedCount atomic.Int64
}

var (
	_ register.Transport = (*Client)(nil)
	_ archive.Replicas   = (*Client)(nil)
)

// NewClient returns a client whose requests time out after the timeout, except those
// that are documented to be bounded by the caller's context alone.
func NewClient(httpClient *http.Client, timeout time.Duration, metrics *Metrics) *Client {
	return &Client{
		http:    httpClient,
		timeout: timeout,
		metrics: metrics,
		options: []connect.ClientOption{
			connect.WithInterceptors(metrics),
			// Compression is disabled: control messages are short and turns are
			// already compressed.
			connect.WithAcceptCompression(gzipName, nil, nil),
		},
	}
}

func (c *Client) replica(address string) peerv1connect.ReplicaServiceClient {
	return c.stubs(address).replica
}

// Node returns the generated client for the node at the address, for calls that not
// every kind of node serves. Callers have to apply the timeout with WithTimeout.
func (c *Client) Node(address string) peerv1connect.NodeServiceClient { return c.stubs(address).node }

// WithTimeout returns a context that ends after the client's timeout at the latest.
func (c *Client) WithTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// ReadTurns implements archive.Replicas.
func (c *Client) ReadTurns(ctx context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, archive.Reply, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	stream, err := c.replica(member.Address).ReadTurns(ctx, connect.NewRequest(&peerv1.ReadTurnsRequest{
		Fence:        fenceToWire(fence),
		Program:      program,
		FromSequence: from,
	}))
	if err != nil {
		return nil, archive.Reply{}, err
	}
	defer stream.Close()
	var turns []replica.Turn
	for stream.Receive() {
		message := stream.Msg()
		if message.GetRefusal() != peerv1.Refusal_REFUSAL_UNSPECIFIED {
			return nil, archive.Reply{
				Refusal: register.Refusal(message.GetRefusal()),
				View:    ViewFromWire(message.GetView()),
			}, nil
		}
		turn, err := turnFromWire(message.GetTurn())
		if err != nil {
			return nil, archive.Reply{}, err
		}
		turns = append(turns, turn)
	}
	return turns, archive.Reply{}, stream.Err()
}

// Exchange runs one round of gossip with the node at the address. It implements
// membership.Exchanger.
func (c *Client) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Peek returns one replica's copy of a register, which may be out of date.
func (c *Client) Peek(ctx context.Context, member register.Member, fence register.Fence, key string) ([]byte, register.Refusal, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.replica(member.Address).Peek(ctx, connect.NewRequest(&peerv1.PeekRequest{
		Fence: fenceToWire(fence),
		Key:   key,
	}))
	if err != nil {
		return nil, register.RefusalNone, err
	}
	return response.Msg.GetValue(), register.Refusal(response.Msg.GetRefusal()), nil
}
