package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
)

// Metrics counts the requests that this node exchanges with its peers, and their
// bytes. Bytes are those of the encoded messages, without HTTP headers. It is a
// connect.Interceptor.
type Metrics struct {
	requests *prometheus.CounterVec
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// procedures maps each procedureKey to its *procedureMetrics.
	procedures sync.Map
}

// NewMetrics returns metrics of the internal protocol that are registered with the
// registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	labels := []string{"side", "procedure"}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_peer_requests_total", Help: "Requests between nodes, by side and procedure.",
		}, labels),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_peer_sent_bytes_total", Help: "Bytes of messages sent to peers.",
		}, labels),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_peer_received_bytes_total", Help: "Bytes of messages received from peers.",
		}, labels),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marblering_peer_request_seconds", Help: "Time of a request between nodes.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}, labels),
	}
	registerer.MustRegister(m.requests, m.sent, m.received, m.seconds)
	return m
}

const (
	sideClient = "client"
	sideServer = "server"
)

// WrapUnary implements connect.Interceptor.
func (m *Metrics) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		start := time.Now()
		response, err := next(ctx, request)
		side, procedure := sideServer, request.Spec().Procedure
		if request.Spec().IsClient {
			side = sideClient
		}
		m.requests.WithLabelValues(side, procedure).Inc()
		m.seconds.WithLabelValues(side, procedure).Observe(time.Since(start).Seconds())
		outgoing, incoming := messageSize(request.Any()), 0
		if err == nil {
			incoming = messageSize(response.Any())
		}
		if side == sideServer {
			outgoing, incoming = incoming, outgoing
		}
		m.sent.WithLabelValues(side, procedure).Add(float64(outgoing))
		m.received.WithLabelValues(side, procedure).Add(float64(incoming))
		return response, err
	}
}

// observeCall records a call that a stream carried.
func (m *Metrics) observeCall(side string, call *peerv1.Call, answer *peerv1.Answer, duration time.Duration) {
	metrics := m.forKind(side, callKind(call))
	metrics.requests.Inc()
	metrics.seconds.Observe(duration.Seconds())
	outgoing, incoming := proto.Size(call), proto.Size(answer)
	if side == sideServer {
		outgoing, incoming = incoming, outgoing
	}
	metrics.sent.Add(float64(outgoing))
	metrics.received.Add(float64(incoming))
}

// callKind returns the name of a call's kind, as in the procedure label.
func callKind(call *peerv1.Call) string {
	switch call.GetRequest().(type) {
	case *peerv1.Call_Prepare:
		return "Prepare"
	case *peerv1.Call_Accept:
		return "Accept"
	case *peerv1.Call_PutTurn:
		return "PutTurn"
	case *peerv1.Call_ReadMany:
		return "ReadMany"
	case *peerv1.Call_ReserveTokens:
		return "ReserveTokens"
	case *peerv1.Call_EndTurns:
		return "EndTurns"
	case *peerv1.Call_RecordStream:
		return "RecordStream"
	case *peerv1.Call_FindStream:
		return "FindStream"
	case *peerv1.Call_TakePermits:
		return "TakePermits"
	}
	return "unknown"
}

// procedureMetrics holds the metrics of one kind of call. They are cached because a
// lookup by labels costs about as much as the call.
type procedureMetrics struct {
	requests, sent, received prometheus.Counter
	seconds                  prometheus.Observer
}

// procedureKey identifies the procedureMetrics of one kind of call on one side.
type procedureKey struct{ side, kind string }

func (m *Metrics) forKind(side, kind string) *procedureMetrics {
	key := procedureKey{side, kind}
	if cached, found := m.procedures.Load(key); found {
		return cached.(*procedureMetrics)
	}
	procedure := "/" + peerv1connect.CallServiceName + "/" + kind
	created := &procedureMetrics{
		requests: m.requests.WithLabelValues(side, procedure), seconds: m.seconds.WithLabelValues(side, procedure),
		sent: m.sent.WithLabelValues(side, procedure), received: m.received.WithLabelValues(side, procedure),
	}
	m.procedures.Store(key, created)
	return created
}

// WrapStreamingClient implements connect.Interceptor.
func (m *Metrics) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		m.requests.WithLabelValues(sideClient, spec.Procedure).Inc()
		return &countingClientConn{StreamingClientConn: next(ctx, spec), metrics: m}
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (m *Metrics) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, stream connect.StreamingHandlerConn) error {
		m.requests.WithLabelValues(sideServer, stream.Spec().Procedure).Inc()
		return next(ctx, &countingHandlerConn{StreamingHandlerConn: stream, metrics: m})
	}
}

type countingClientConn struct {
	connect.StreamingClientConn
	metrics *Metrics
}

// Send implements connect.StreamingClientConn.
func (c *countingClientConn) Send(message any) error {
	c.metrics.sent.WithLabelValues(sideClient, c.Spec().Procedure).Add(float64(messageSize(message)))
	return c.StreamingClientConn.Send(message)
}

// Receive implements connect.StreamingClientConn.
func (c *countingClientConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if err == nil {
		c.metrics.received.WithLabelValues(sideClient, c.Spec().Procedure).Add(float64(messageSize(message)))
	}
	return err
}

type countingHandlerConn struct {
	connect.StreamingHandlerConn
	metrics *Metrics
}

// Send implements connect.StreamingHandlerConn.
func (c *countingHandlerConn) Send(message any) error {
	c.metrics.sent.WithLabelValues(sideServer, c.Spec().Procedure).Add(float64(messageSize(message)))
	return c.StreamingHandlerConn.Send(message)
}

// Receive implements connect.StreamingHandlerConn.
func (c *countingHandlerConn) Receive(message any) error {
	err := c.StreamingHandlerConn.Receive(message)
	if err == nil {
		c.metrics.received.WithLabelValues(sideServer, c.Spec().Procedure).Add(float64(messageSize(message)))
	}
	return err
}

func messageSize(message any) int {
	encoded, ok := message.(proto.Message)
	if !ok {
		return 0
	}
	return proto.Size(encoded)
}
