package shard

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// stripeCount is the number of locks that all registers share.
const stripeCount = 256

// stripedLocks are locks that stop waiting when the context of a request ends. A holder may
// wait for the disk; cancelled requests that kept waiting behind it would delay the seal of
// the shard and still write.
type stripedLocks [stripeCount]chan struct{}

func newStripedLocks() *stripedLocks {
	var s stripedLocks
	for i := range s {
		s[i] = make(chan struct{}, 1)
	}
	return &s
}

// lock acquires the lock of the register; held is false if ctx ended first.
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
