package partition

import (
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is what a proxy does to connections.
type Kind int

// Kinds of faults.
const (
	// Pass is no fault.
	Pass Kind = iota
	// Cut breaks open connections and refuses new ones.
	Cut
	// Stall holds everything back, in both directions, until the fault ends;
	// then it is delivered late, as after a partition.
	Stall
	// HalfOpen loses everything, in both directions, while both ends believe in
	// the connection. Such a connection breaks once the fault ends.
	HalfOpen
	// DropAnswers delivers requests and breaks the connection in place of the
	// first byte of an answer: the effect took place, the answer is lost.
	DropAnswers
	// HoldAnswers delivers requests and holds the answers back until the fault
	// ends.
	HoldAnswers
	// Slow holds each piece back for Fault.Delay.
	Slow
	// Duplicate sends all requests of connections opened from now on to the
	// target twice. The second answers are thrown away.
	Duplicate
)

// Fault is what a proxy does wrong.
type Fault struct {
	Kind  Kind
	Delay time.Duration
}

// Proxy is a TCP proxy in front of one address.
type Proxy struct {
	port reservation

	mutex    sync.Mutex
	target   string
	listener net.Listener
	fault    Fault
	bySource map[string]Fault
	links    map[*link]struct{}
	// changed is closed and replaced at every change of a fault.
	changed chan struct{}
	closed  bool
}

func newProxy(port reservation) *Proxy {
	return &Proxy{
		port:     port,
		bySource: make(map[string]Fault),
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.port.address.String() }

// SetTarget names the address that connections go to.
func (p *Proxy) SetTarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
	p.signal()
}

// Set applies the fault to the connections of every source that SetFor doesn't
// name.
func (p *Proxy) Set(fault Fault) error {
	p.mutex.Lock()
	p.fault = fault
	p.mutex.Unlock()
	return p.apply()
}

// SetFor applies the fault to the connections that the named source opens.
func (p *Proxy) SetFor(source string, fault Fault) error {
	p.mutex.Lock()
	p.bySource[source] = fault
	p.mutex.Unlock()
	return p.apply()
}

// Heal ends all faults.
func (p *Proxy) Heal() error {
	p.mutex.Lock()
	p.fault = Fault{}
	clear(p.bySource)
	p.mutex.Unlock()
	return p.apply()
}

// apply brings the listener and the open connections to what the faults say. A
// connection that a cut finds open breaks, as does one that has lost something.
func (p *Proxy) apply() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	for open := range p.links {
		kind := p.faultOf(open.source).Kind
		if kind == Cut || kind != HalfOpen && open.isHoled() {
			open.breakOff()
		}
	}
	p.signal()
	return p.listen()
}

// listen closes the listener while every process is cut off, so that they find
// the address refused, and opens it again afterwards.
func (p *Proxy) listen() error {
	refusing := p.fault.Kind == Cut && len(p.bySource) == 0
	if refusing && p.listener != nil {
		err := p.listener.Close()
		p.listener = nil
		return merry.Wrap(err)
	}
	if refusing || p.listener != nil {
		return nil
	}
	listener, err := p.port.listen()
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// signal wakes every waiting connection; the caller holds the mutex.
func (p *Proxy) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// faultOf returns the fault of a source; the caller holds the mutex.
func (p *Proxy) faultOf(source string) Fault {
	if fault, found := p.bySource[source]; found && source != "" {
		return fault
	}
	return p.fault
}

// state returns the fault of the source, the target, and the channel that tells
// of the next change.
func (p *Proxy) state(source string) (fault Fault, target string, changed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faultOf(source), p.target, p.changed
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	opened := &link{proxy: p, client: client, source: sourceOf(client), broken: make(chan struct{})}
	p.mutex.Lock()
	p.links[opened] = struct{}{}
	closed := p.closed
	p.mutex.Unlock()
	if closed {
		opened.breakOff()
	}
	opened.run()
	p.mutex.Lock()
	delete(p.links, opened)
	p.mutex.Unlock()
}

func (p *Proxy) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.port.release()
	for open := range p.links {
		open.breakOff()
	}
}
