package shard

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// stripeCount is the number of locks that the registers share.
const stripeCount = 256

// stripedLocks are locks that a request stops waiting for once its caller has given
// up. Whoever holds one waits for the disk; without that, requests that nobody
// waits for any more would queue here, keep the shard from being sealed, and
// write what they were asked to.
type stripedLocks [stripeCount]chan struct{}

func newStripedLocks() *stripedLocks {
	var s stripedLocks
	for i := range s {
		s[i] = make(chan struct{}, 1)
	}
	return &s
}

// lock takes the lock of the register; held is false once ctx has ended.
func (s *stripedLocks) lock(ctx context.Context, shard uint32, key string) (unlock func(), held bool) {
	stripe := s[(xxhash.Sum64String(key)+uint64(shard))%stripeCount]
	select {
	case stripe <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	if ctx.Err() != nil {
		<-stripe
		return nil, false
	}
	return func() { <-stripe }, true
}
