package harness

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Proxy forwards TCP connections to one server and injects faults, which may be
// changed at any time. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mutex  sync.Mutex
	target string
	fault  Fault
	// used counts the requests that the present fault has hit.
	used   int
	hits   int
	links  []*link
	closed bool
}

// StartProxy listens on a free loopback port until the test ends. Connections
// are reset until SetTarget has named the server.
func StartProxy(t testing.TB) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &Proxy{listener: listener}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// Address returns host:port for the clients.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget names the server, as host:port. Connections at hand stay with the
// server that they have.
func (p *Proxy) SetTarget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = address
}

// SetFault replaces the present fault. Cut takes effect on the connections at
// hand before SetFault returns.
func (p *Proxy) SetFault(fault Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	p.used = 0
	for _, l := range p.links {
		if request, _ := l.exchange(); fault.Mode == Cut && fault.matches(request) {
			l.reset()
		}
	}
}

// Heal lifts the present fault.
func (p *Proxy) Heal() { p.SetFault(Fault{}) }

// Hits returns the number of requests hit since the start: for DropAnswer once
// the answer was dropped, for Duplicate once the copy was answered.
func (p *Proxy) Hits() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.hits
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		l := &link{proxy: p, client: client}
		if p.add(l) {
			go l.run()
		}
	}
}

// add keeps the link, unless the proxy is closed or cut.
func (p *Proxy) add(l *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.fault.Mode == Cut && p.fault.matches(nil) {
		l.reset()
		return false
	}
	p.links = append(p.links, l)
	return true
}

// choose returns the fault that hits the request, if any, and counts it.
func (p *Proxy) choose(request *http.Request) Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fault.matches(request) || p.fault.Times > 0 && p.used >= p.fault.Times {
		return Fault{}
	}
	p.used++
	if p.fault.Mode != DropAnswer && p.fault.Mode != Duplicate {
		p.hits++
	}
	return p.fault
}

// standing returns the present fault if it hits the request without a count.
func (p *Proxy) standing(request *http.Request) Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fault.Times == 0 && p.fault.matches(request) {
		return p.fault
	}
	return Fault{}
}

func (p *Proxy) countHit() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hits++
}

func (p *Proxy) dial() (net.Conn, error) {
	p.mutex.Lock()
	target := p.target
	p.mutex.Unlock()
	return net.DialTimeout("tcp", target, Generous)
}

// replay sends a request a second time and discards the answer.
func (p *Proxy) replay(request *http.Request, raw []byte) {
	server, err := p.dial()
	if err != nil {
		return
	}
	defer server.Close()
	if _, err = server.Write(raw); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(server), request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	p.countHit()
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.reset()
	}
}
