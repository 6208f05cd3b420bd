package bench

import (
	"fmt"
	"net/netip"
	"strings"
)

// ParseTargets parses a comma-separated list of IP:port. It rejects addresses
// that are not loopback, so that no load ever leaves the machine.
func ParseTargets(list string) ([]string, error) {
	var targets []string
	for item := range strings.SplitSeq(list, ",") {
		target := strings.TrimSpace(item)
		if err := checkLoopback(target); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	return targets, nil
}

func checkLoopback(target string) error {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q: want IP:port", target)
	}
	if !address.Addr().IsLoopback() {
		return fmt.Errorf("target %q: want a loopback address", target)
	}
	return nil
}
