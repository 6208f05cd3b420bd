package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// shutdownTimeout bounds how long shutdown waits for requests in flight. The servers
// also use it as their ReadHeaderTimeout.
const shutdownTimeout = 10 * time.Second

// ServePlatform serves a platform stand-in at listen, host:port, until ctx is done.
func ServePlatform(ctx context.Context, listen string, p *Platform) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("standin: start platform: %w", err)
	}
	slog.Info("standin: platform ready", "address", listener.Addr().String())
	return serve(ctx, p.partition.Listener(listener), p)
}

// ServeServer serves a server stand-in at listen, host:port, until ctx is done. It
// then refuses new requests and finishes the running ones.
func ServeServer(ctx context.Context, listen string, s *Server) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("standin: start server %s: %w", s.settings.ID, err)
	}
	slog.Info("standin: server ready", "server", s.settings.ID, "address", listener.Addr().String())
	stop := context.AfterFunc(ctx, func() { s.Drain(true) })
	defer stop()
	return serve(ctx, s.Listener(listener), s)
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("standin: serve %s: %w", listener.Addr(), err)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("standin: shut down %s: requests still in flight after %s", listener.Addr(), shutdownTimeout)
	}
	return err
}
