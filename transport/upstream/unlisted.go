package upstream

import (
	"context"
	"errors"
)

// ErrUnlisted means that another process of the instance runs than the one that is listed.
var ErrUnlisted = errors.New("the instance was started again and isn't listed yet as it is now")

// checkProcess sets whether the request is sent to another process than the listed one. If it must
// not be, or that can't be found out, it gives the connection back and returns an error.
func (c *Client) checkProcess(ctx context.Context, to endpoint, request *Request, used *connection) error {
	isOther, err := c.isOtherProcess(ctx, to, used)
	if err != nil {
		used.close()
		return err
	}
	request.IsUnlisted = isOther
	if isOther && request.NeedsListed {
		c.putIdle(to, used)
		return ErrUnlisted
	}
	return nil
}
