package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
)

// FleetSettings are the settings of a process that runs several servers.
type FleetSettings struct {
	Servers []FleetServer `json:"servers"`
}

// FleetServer is the address and settings of one server of a fleet.
type FleetServer struct {
	Listen string `json:"listen"` // host:port
	ServerSettings
}

// ParseFleet parses and validates the settings of a fleet.
func ParseFleet(data []byte) (FleetSettings, error) {
	var fleet FleetSettings
	if err := decodeStrict(data, &fleet); err != nil {
		return FleetSettings{}, fmt.Errorf("standin: parse server settings: %w", err)
	}
	if len(fleet.Servers) == 0 {
		return FleetSettings{}, fmt.Errorf("standin: server settings: servers is empty")
	}
	seen := map[string]bool{}
	for i, server := range fleet.Servers {
		if err := server.check(); err != nil {
			return FleetSettings{}, fmt.Errorf("standin: servers[%d]: %w", i, err)
		}
		if seen[server.ID] {
			return FleetSettings{}, fmt.Errorf("standin: servers[%d]: duplicate id %q", i, server.ID)
		}
		seen[server.ID] = true
	}
	return fleet, nil
}

// ParsePlatform parses and validates the settings of a platform stand-in.
func ParsePlatform(data []byte) (PlatformSettings, error) {
	var s PlatformSettings
	if err := decodeStrict(data, &s); err != nil {
		return PlatformSettings{}, fmt.Errorf("standin: parse platform settings: %w", err)
	}
	if share := s.Faults.LostAnswerShare; share < 0 || share > 1 {
		return PlatformSettings{}, fmt.Errorf("standin: lost_answer_share %v: want 0 to 1", share)
	}
	return s, nil
}

func (s FleetServer) check() error {
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return fmt.Errorf("listen %q: want host:port", s.Listen)
	}
	return s.ServerSettings.Check()
}

// Check returns an error that names the first setting that is missing or out of
// range.
func (s ServerSettings) Check() error {
	switch {
	case s.ID == "":
		return fmt.Errorf("id is missing")
	case s.Slots < 0:
		return fmt.Errorf("slots %d: want 0 (default) or more", s.Slots)
	case s.Connections < 0:
		return fmt.Errorf("connections %d: want 0 (no limit) or more", s.Connections)
	case s.Queue < -1:
		return fmt.Errorf("queue %d: want -1 (none) or more", s.Queue)
	case s.WorkMS < 0:
		return fmt.Errorf("work_ms %v: want 0 or more", s.WorkMS)
	case s.ColdStartMS < 0:
		return fmt.Errorf("cold_start_ms %d: want 0 or more", s.ColdStartMS)
	case s.ColdFactor < 0:
		return fmt.Errorf("cold_factor %v: want 0 (default) or more", s.ColdFactor)
	}
	return nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
