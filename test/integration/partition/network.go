// Package partition puts TCP proxies between processes that know which process
// opened a connection, so that one link can fail while others to the same
// address work: a zone that is cut off, a node that reaches nobody, a path that
// delivers late. Nothing is read of what a connection carries.
//
// Package harness has the proxy for faults of single HTTP requests.
//
// It needs Linux: the sender of a connection is found in /proc.
package partition

import (
	"sync"
)

// Network is a set of proxies. Sources are child processes of this one, named by
// the value of their argument --name.
type Network struct {
	mutex   sync.Mutex
	proxies []*Proxy
}

// Close closes the proxies.
func (n *Network) Close() {
	for _, proxy := range n.all() {
		proxy.close()
	}
}

// Proxy opens a proxy on a port of its own. Connections wait until SetTarget
// has named the address they go to.
func (n *Network) Proxy() (*Proxy, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	proxy := newProxy(port)
	if err := proxy.apply(); err != nil {
		port.release()
		return nil, err
	}
	n.mutex.Lock()
	n.proxies = append(n.proxies, proxy)
	n.mutex.Unlock()
	return proxy, nil
}

// Isolate applies the fault to all connections that the source opens through
// the proxies that the network has now.
func (n *Network) Isolate(source string, fault Fault) error {
	for _, proxy := range n.all() {
		if err := proxy.SetFor(source, fault); err != nil {
			return err
		}
	}
	return nil
}

// Heal ends the faults of every proxy.
func (n *Network) Heal() error {
	for _, proxy := range n.all() {
		if err := proxy.Heal(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) all() []*Proxy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.proxies
}
