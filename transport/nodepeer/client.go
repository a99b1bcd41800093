package nodepeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/transport/peer"
)

// Client sends requests to other nodes that run marblering serve. It is safe for
// concurrent use.
type Client struct {
	*peer.Client
}

var _ execution.Peers = (*Client)(nil)

// NewClient returns a client whose requests fail after the timeout.
func NewClient(httpClient *http.Client, timeout time.Duration, metrics *peer.Metrics) *Client {
	return &Client{Client: peer.NewClient(httpClient, timeout, metrics)}
}

// AttemptStatus implements execution.Peers. A failed request is reported as
// AttemptUnreachable.
func (c *Client) AttemptStatus(ctx context.Context, address, executor, program string, sequence uint64, attempt uint32) execution.AttemptState {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).AttemptStatus(ctx, connect.NewRequest(&peerv1.AttemptStatusRequest{
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

// FetchConfiguration requests from the node at the address the configuration
// that is newer than the version in the request.
func (c *Client) FetchConfiguration(ctx context.Context, address string, request *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).FetchConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// InstallConfiguration sends configuration objects to the node at the address.
func (c *Client) InstallConfiguration(ctx context.Context, address string, request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).InstallConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Reserve requests engine capacity from the admission point at the address.
func (c *Client) Reserve(ctx context.Context, address string, request *peerv1.ReserveRequest) (*peerv1.ReserveResponse, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Release returns reserved capacity to the admission point at the address.
func (c *Client) Release(ctx context.Context, address string, request *peerv1.ReleaseRequest) error {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	_, err := c.Node(address).Release(ctx, connect.NewRequest(request))
	return err
}

// Grant requests a share of a tenant's rate limit from the node at the address.
func (c *Client) Grant(ctx context.Context, address string, request *peerv1.GrantRequest) (*peerv1.GrantResponse, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.Node(address).Grant(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
