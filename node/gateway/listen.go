package gateway

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
)

const (
	// Timeouts of callers' connections before the first configuration.
	initialHeaderTimeout = 10 * time.Second
	initialIdleTimeout   = time.Minute
	// maxHeaderBytes bounds the header of a request where the configured limit, which the
	// relay enforces, is larger.
	maxHeaderBytes = 1 << 20
	// connectionLogRate is the limit of log lines per second about connections.
	connectionLogRate = 10
)

// listenForCallers opens the listener for callers.
func (g *Gateway) listenForCallers() (*listener.Listener, error) {
	opened, err := listener.Open("callers", g.settings.CallerListen.String(), &http.Server{
		Handler: g.relay, ReadHeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(g.logger.Named("http")),
	})
	if err != nil {
		return nil, err
	}
	logger := telemetry.RateLimited(g.logger, connectionLogRate, logBurst)
	opened.OnAcceptError = func(err error) { logger.Warn("cannot accept connection", zap.Error(err)) }
	opened.OnUnhandled = func(client net.Addr) {
		logger.Info("connection ended with an unread request", zap.Stringer("client", client))
	}
	return opened, nil
}

// applyLimits applies the limits of the configuration to the connections of callers.
func (g *Gateway) applyLimits(limits routetable.Limits) {
	g.callers.SetTimeouts(listener.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout})
}
