package harness

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const bufferSize = 32 << 10

// link is one connection of a client and, once needed, the one to the server.
type link struct {
	proxy  *Proxy
	client net.Conn

	mutex  sync.Mutex
	server net.Conn
	ended  bool
	// silent is set once bytes for the client are swallowed.
	silent bool
	// request is the last one read, and fault what hit it.
	request *http.Request
	fault   Fault
}

// run forwards the requests of the client until either side ends.
func (l *link) run() {
	defer l.end()
	reader := bufio.NewReaderSize(l.client, bufferSize)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var raw bytes.Buffer
		if request.Write(&raw) != nil || !l.forward(request, raw.Bytes()) {
			return
		}
	}
}

// forward passes one request on and tells whether the connection goes on.
func (l *link) forward(request *http.Request, raw []byte) bool {
	fault := l.proxy.choose(request)
	if l.begin(request, fault) || fault.Mode == HalfOpen && fault.works(ToServer) {
		_, _ = io.Copy(io.Discard, l.client)
		return false
	}
	switch fault.Mode {
	case Cut:
		l.reset()
		return false
	case Delay:
		if fault.works(ToServer) {
			time.Sleep(fault.Delay)
		}
	case Duplicate:
		go l.proxy.replay(request, raw)
	}
	if l.connect() != nil {
		l.reset()
		return false
	}
	_, err := l.server.Write(raw)
	return err == nil
}

// begin notes the request whose answer comes next, and returns whether bytes for
// the client were swallowed before.
func (l *link) begin(request *http.Request, fault Fault) (wasSilent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wasSilent = l.silent
	l.request = request
	l.fault = fault
	l.silent = wasSilent || fault.Mode == HalfOpen && fault.works(ToClient)
	return wasSilent
}

func (l *link) exchange() (*http.Request, Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.request, l.fault
}

// connect makes the connection to the server when it is first needed.
func (l *link) connect() error {
	if l.server != nil {
		return nil
	}
	server, err := l.proxy.dial()
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		_ = server.Close()
		return net.ErrClosed
	}
	l.server = server
	go l.passAnswers(server)
	return nil
}

// passAnswers forwards what the server sends. Once silent it reads no more, and
// the server's bytes stay unacknowledged as on a broken path.
func (l *link) passAnswers(server net.Conn) {
	buffer := make([]byte, bufferSize)
	var answered *http.Request
	passed := 0
	for {
		count, err := server.Read(buffer)
		if l.isSilent() {
			return
		}
		if request, _ := l.exchange(); request != answered {
			answered = request
			passed = 0
		}
		if count > 0 && !l.answer(buffer[:count], passed) {
			return
		}
		if err != nil {
			l.end()
			return
		}
		passed += count
	}
}

// isSilent also takes up a fault that was set since the request came.
func (l *link) isSilent() bool {
	request, _ := l.exchange()
	standing := l.proxy.standing(request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = l.silent || standing.Mode == HalfOpen && standing.works(ToClient)
	return l.silent
}

// answer passes a piece of an answer on and tells whether the connection goes on.
func (l *link) answer(piece []byte, passed int) bool {
	request, fault := l.exchange()
	if standing := l.proxy.standing(request); standing.Mode == Delay {
		// It may have been set while the answer was under way.
		fault = standing
	}
	switch fault.Mode {
	case Delay:
		if fault.works(ToClient) {
			time.Sleep(fault.Delay)
		}
	case DropAnswer:
		if room := fault.AnswerBytes - passed; room < len(piece) {
			_, _ = l.client.Write(piece[:max(room, 0)])
			l.proxy.countHit()
			l.drop(fault)
			return false
		}
	}
	if _, err := l.client.Write(piece); err != nil {
		l.end()
		return false
	}
	return true
}

// drop ends the connection of an answer. A reset would take the bytes along that
// were let through.
func (l *link) drop(fault Fault) {
	if fault.AnswerBytes > 0 {
		l.end()
		return
	}
	l.reset()
}

// reset ends both connections at once; the client sees a reset.
func (l *link) reset() {
	if connection, ok := l.client.(*net.TCPConn); ok {
		_ = connection.SetLinger(0)
	}
	l.end()
}

// end closes both connections.
func (l *link) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
	_ = l.client.Close()
	if l.server != nil {
		_ = l.server.Close()
	}
}
