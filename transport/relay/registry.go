package relay

import "sync"

// registry holds the requests in flight. It is safe for concurrent use.
type registry struct {
	mutex sync.Mutex
	calls map[*call]struct{}
}

// add adds a request and returns the number of requests in flight.
func (r *registry) add(c *call) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.calls == nil {
		r.calls = make(map[*call]struct{})
	}
	r.calls[c] = struct{}{}
	return int64(len(r.calls))
}

func (r *registry) remove(c *call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.calls, c)
}

func (r *registry) count() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int64(len(r.calls))
}

func (r *registry) all() []*call {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	calls := make([]*call, 0, len(r.calls))
	for c := range r.calls {
		calls = append(calls, c)
	}
	return calls
}
