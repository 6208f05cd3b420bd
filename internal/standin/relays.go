package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// PathRelays is the path that controls the partitions of a relay process. GET answers
// 200 once all relays listen. POST takes a list of RelayCut and replaces the partition
// of each relay that it names.
const PathRelays = "/_standin/relays"

// RelaySettings are the settings of a process that runs relays.
type RelaySettings struct {
	Listen string       `json:"listen"` // address that serves PathRelays
	Relays []RelayRoute `json:"relays"`
}

// RelayRoute is the listen and target address of one relay, host:port.
type RelayRoute struct {
	Listen  string `json:"listen"`
	Forward string `json:"forward"`
}

// RelayCut sets the source IPs that the relay with address Listen is partitioned
// from.
type RelayCut struct {
	Listen  string   `json:"listen"`
	Sources []string `json:"sources"`
}

// ParseRelays parses and validates the settings of a relay process.
func ParseRelays(data []byte) (RelaySettings, error) {
	var s RelaySettings
	if err := decodeStrict(data, &s); err != nil {
		return RelaySettings{}, fmt.Errorf("standin: parse relay settings: %w", err)
	}
	addresses := []string{s.Listen}
	for _, route := range s.Relays {
		addresses = append(addresses, route.Listen, route.Forward)
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return RelaySettings{}, fmt.Errorf("standin: relay settings: address %q: want host:port", address)
		}
	}
	return s, nil
}

// ServeRelays runs relays until ctx is done.
func ServeRelays(ctx context.Context, s RelaySettings) error {
	relays := map[string]*Relay{}
	group, ctx := errgroup.WithContext(ctx)
	for _, route := range s.Relays {
		listener, err := net.Listen("tcp", route.Listen)
		if err != nil {
			return fmt.Errorf("standin: start relay: %w", err)
		}
		relay := NewRelay(route.Forward)
		relays[route.Listen] = relay
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		group.Go(func() error {
			err := relay.Serve(listener)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("standin: serve relay control endpoint: %w", err)
	}
	slog.Info("standin: relays ready", "address", s.Listen, "relays", len(relays))
	group.Go(func() error { return serve(ctx, listener, relayHandler(relays)) })
	return group.Wait()
}

func relayHandler(relays map[string]*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRelays, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("POST "+PathRelays, func(w http.ResponseWriter, r *http.Request) {
		var cuts []RelayCut
		if err := decodeJSON(r, &cuts); err != nil {
			badRequest(w, err)
			return
		}
		for _, cut := range cuts {
			relay, ok := relays[cut.Listen]
			if !ok {
				badRequest(w, fmt.Errorf("standin: no relay at %q", cut.Listen))
				return
			}
			relay.Partition.Set(CutSources{Sources: cut.Sources})
		}
		writeJSON(w, cuts)
	})
	return mux
}
