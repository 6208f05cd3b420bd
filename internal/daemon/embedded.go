package daemon

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/standin"
)

// demoRecord is the configuration that the embedded stand-ins start with.
//
//go:embed demo/swapbay.json
var demoRecord []byte

// startEmbedded starts stand-ins of the platform and of the demonstration's
// servers, which end with ctx.
func startEmbedded(ctx context.Context, s *settings.Settings) error {
	service, err := config.Decode(demoRecord)
	if err != nil {
		return fmt.Errorf("embedded record: %w", err)
	}
	stand := standin.NewPlatform(standin.PlatformSettings{})
	stand.SetVM(platform.VM{
		ID: s.ID, Incarnation: s.Incarnation, Role: "entry",
		FailureDomain: s.FailureDomain, Address: s.PeerListen, State: platform.VMLive,
	})
	go serveEmbedded("platform", func() error { return standin.ServePlatform(ctx, s.Platform, stand) })
	for _, server := range service.Servers {
		stub := standin.NewServer(standin.ServerSettings{
			ID: server.ID, FailureDomain: server.FailureDomain, Slots: server.Slots,
			Connections: server.Connections, Checks: server.Checks, WorkMS: 1,
		})
		go serveEmbedded(server.ID, func() error { return standin.ServeServer(ctx, server.Address, stub) })
	}
	return applyEmbedded(ctx, s, service)
}

func serveEmbedded(name string, serve func() error) {
	if err := serve(); err != nil {
		slog.Error("daemon: embedded stand-in ended", "name", name, "error", err.Error())
	}
}

// applyEmbedded brings the record into the platform stand-in's table.
func applyEmbedded(ctx context.Context, s *settings.Settings, service *config.Service) error {
	data, err := json.Marshal(service)
	if err != nil {
		return err
	}
	client := platform.NewClient(s.Platform)
	acceptor := &config.Acceptor{Table: client}
	if _, err := acceptor.Apply(ctx, data, 0); err != nil {
		return fmt.Errorf("embedded record: %w", err)
	}
	return nil
}
