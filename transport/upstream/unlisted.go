package upstream

import (
	"context"
	"errors"
)

// ErrUnlisted means that another process of the instance runs than the one that is listed.
var ErrUnlisted = errors.New("the instance was started again and isn't listed yet as it is now")

// checkProcess sets whether the request is sent to another process than the listed one, and returns
// the connection for it: a new one if what the process says on this one can't be trusted. If it must
// not be sent, or that can't be found out, it gives the connection back and returns an error.
func (c *Client) checkProcess(ctx context.Context, to endpoint, request *Request, used *connection) (*connection, error) {
	isOther, err := c.isOtherProcess(ctx, to, used)
	if errors.Is(err, errNoIdentity) {
		used.close()
		if used, err = c.dial(ctx, to); err != nil {
			return nil, err
		}
		isOther, err = c.isOtherProcess(ctx, to, used)
	}
	if err != nil {
		used.close()
		return nil, err
	}
	request.IsUnlisted = isOther
	if isOther && request.NeedsListed {
		c.putIdle(to, used)
		return nil, ErrUnlisted
	}
	return used, nil
}
