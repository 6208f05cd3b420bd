package daemon

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/standin"
)

// demoRecord is the configuration record of the demonstration service.
//
//go:embed demo/swapbay.json
var demoRecord []byte

// startEmbedded starts stand-ins for the platform and for the servers of the
// demonstration service. They stop when ctx is done.
func startEmbedded(ctx context.Context, s *settings.Settings) error {
	service, err := config.Decode(demoRecord)
	if err != nil {
		return fmt.Errorf("decode embedded record: %w", err)
	}
	platformStandin := standin.NewPlatform(standin.PlatformSettings{})
	platformStandin.SetVM(platform.VM{
		ID: s.ID, Incarnation: s.Incarnation, Role: "entry",
		FailureDomain: s.FailureDomain, Address: s.PeerListen, State: platform.VMLive,
	})
	go serveEmbedded("platform", func() error { return standin.ServePlatform(ctx, s.Platform, platformStandin) })
	for _, server := range service.Servers {
		serverStandin := standin.NewServer(standin.ServerSettings{
			ID: server.ID, FailureDomain: server.FailureDomain, Slots: server.Slots,
			Connections: server.Connections, Checks: server.Checks, WorkMS: 1,
		})
		go serveEmbedded(server.ID, func() error { return standin.ServeServer(ctx, server.Address, serverStandin) })
	}
	return applyEmbedded(ctx, s, service)
}

func serveEmbedded(name string, serve func() error) {
	if err := serve(); err != nil {
		slog.Error("daemon: embedded stand-in failed", "name", name, "error", err.Error())
	}
}

// applyEmbedded writes the record to the table of the platform stand-in.
func applyEmbedded(ctx context.Context, s *settings.Settings, service *config.Service) error {
	data, err := json.Marshal(service)
	if err != nil {
		return err
	}
	client := platformclient.New(s.Platform)
	acceptor := &config.Acceptor{Table: client}
	if _, err := acceptor.Apply(ctx, data, 0); err != nil {
		return fmt.Errorf("apply embedded record: %w", err)
	}
	return nil
}
