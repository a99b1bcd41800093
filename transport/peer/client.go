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
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// gzipName is the compression that connect offers unless it is taken out.
const gzipName = "gzip"

// Client sends requests to other nodes. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
	options []connect.ClientOption
	metrics *Metrics
	// known maps addresses to *stubs; count is about how many there are.
	known sync.Map
	count atomic.Int64
}

var (
	_ register.Transport = (*Client)(nil)
	_ archive.Replicas   = (*Client)(nil)
	_ execution.Peers    = (*Client)(nil)
)

// NewClient makes a client whose requests end after the timeout at the latest.
func NewClient(httpClient *http.Client, timeout time.Duration, metrics *Metrics) *Client {
	return &Client{
		http:    httpClient,
		timeout: timeout,
		metrics: metrics,
		options: []connect.ClientOption{
			connect.WithInterceptors(metrics),
			// Control messages are short and turns are compressed already, while a
			// compressor for each answer holds nearly a megabyte.
			connect.WithAcceptCompression(gzipName, nil, nil),
		},
	}
}

func (c *Client) replica(address string) peerv1connect.ReplicaServiceClient {
	return c.stubs(address).replica
}

func (c *Client) node(address string) peerv1connect.NodeServiceClient { return c.stubs(address).node }

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// ReadTurns implements archive.Replicas.
func (c *Client) ReadTurns(ctx context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, archive.Reply, error) {
	ctx, cancel := c.bound(ctx)
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

// AttemptStatus implements execution.Peers.
func (c *Client) AttemptStatus(ctx context.Context, address, executor, program string, sequence uint64, attempt uint32) execution.AttemptState {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).AttemptStatus(ctx, connect.NewRequest(&peerv1.AttemptStatusRequest{
		Program:  program,
		Sequence: sequence,
		Attempt:  attempt,
		Executor: executor,
	}))
	if err != nil {
		return execution.AttemptUnreachable
	}
	if response.Msg.GetRunning() {
		return execution.AttemptRunning
	}
	return execution.AttemptLost
}

// Exchange runs one round of gossip with the node at the address.
func (c *Client) Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// FetchConfiguration asks the node at the address for what is newer than the
// known version.
func (c *Client) FetchConfiguration(ctx context.Context, address string, request *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).FetchConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// InstallConfiguration gives the node at the address configuration objects.
func (c *Client) InstallConfiguration(ctx context.Context, address string, request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).InstallConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Reserve asks the admission point at the address for room.
func (c *Client) Reserve(ctx context.Context, address string, request *peerv1.ReserveRequest) (*peerv1.ReserveResponse, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Release gives room back to the admission point at the address.
func (c *Client) Release(ctx context.Context, address string, request *peerv1.ReleaseRequest) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.node(address).Release(ctx, connect.NewRequest(request))
	return err
}

// Grant asks the node at the address for a slice of a tenant's rate.
func (c *Client) Grant(ctx context.Context, address string, request *peerv1.GrantRequest) (*peerv1.GrantResponse, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	response, err := c.node(address).Grant(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Peek asks one replica for its copy of a register, a hint.
func (c *Client) Peek(ctx context.Context, member register.Member, fence register.Fence, key string) ([]byte, register.Refusal, error) {
	ctx, cancel := c.bound(ctx)
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
