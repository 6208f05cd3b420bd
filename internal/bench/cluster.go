package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/standin"
)

const (
	fileCluster      = "cluster.json"
	readyTimeout     = 30 * time.Second // of all processes together
	terminateTimeout = 15 * time.Second // from SIGTERM to SIGKILL
	namePlatform     = "platform"
	nameServers      = "servers"
	nameRelays       = "relays"
)

// Cluster is a platform stand-in, servers and daemons on loopback addresses, as
// separate processes. Its directory holds all of its state.
type Cluster struct {
	Dir      string            `json:"-"`
	Size     string            `json:"size"`
	Platform string            `json:"platform"` // address
	Relays   string            `json:"relays"`   // address of the relay process, to which simulated partitions are posted
	VMs      []ClusterVM       `json:"vms"`
	Services []*config.Service `json:"services"`
	Separate bool              `json:"separate"` // one process per server
}

// ClusterSettings say how to start a cluster.
type ClusterSettings struct {
	Size     string
	Dir      string
	Net      int    // second octet of the addresses, so that clusters can run side by side
	Separate bool   // one process per server, which faults can kill and stop
	Daemon   string // path of kumquatcleatd
	Tool     string // path of kumquatcleat
	// DaemonSettings override fields in the settings file of every daemon.
	DaemonSettings json.RawMessage
	Server         standin.ServerSettings // work time, cold start and so on, for every server
	// NoChecks starts servers that run requests without a valid grant, and says so
	// in the service records.
	NoChecks bool
}

// Up starts a cluster and waits until it is ready. After an error it terminates
// whatever it started.
func Up(ctx context.Context, s ClusterSettings) (*Cluster, error) {
	size, err := SizeNamed(s.Size)
	if err != nil {
		return nil, err
	}
	if s.Net < 0 || s.Net > 255 {
		return nil, fmt.Errorf("cluster: second octet of the addresses (net) is %d, want 0 to 255", s.Net)
	}
	c := &Cluster{
		Dir:      s.Dir,
		Size:     s.Size,
		Platform: fmt.Sprintf("127.%d.0.1:%d", s.Net, portPlatform),
		Relays:   fmt.Sprintf("127.%d.0.2:%d", s.Net, portPlatform),
		VMs:      size.VMs(s.Net),
		Services: size.Records(s.Net),
		Separate: s.Separate,
	}
	if s.NoChecks {
		c.disableGrantChecks()
	}
	if err := c.prepare(); err != nil {
		return nil, err
	}
	if err := c.start(ctx, s); err != nil {
		return nil, fmt.Errorf("%w (cleanup: %v)", err, c.Down())
	}
	return c, nil
}

func (c *Cluster) disableGrantChecks() {
	for _, service := range c.Services {
		for i := range service.Servers {
			service.Servers[i].Checks = false
		}
	}
}

// prepare creates the directory. It refuses one that holds a live cluster.
func (c *Cluster) prepare() error {
	if names, err := c.processNames(); err == nil {
		for _, name := range names {
			if p, err := loadProcess(c.Dir, name); err == nil && p.alive() {
				return fmt.Errorf("cluster: directory %s holds a live cluster (process %s still runs)", c.Dir, name)
			}
		}
	}
	for _, sub := range []string{"logs", "pids", "runs", "settings"} {
		path := filepath.Join(c.Dir, sub)
		if err := os.RemoveAll(path); err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
		if err := os.MkdirAll(path, 0o755); err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
	}
	return saveJSON(filepath.Join(c.Dir, fileCluster), c)
}

func (c *Cluster) start(ctx context.Context, s ClusterSettings) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if _, err := startProcess(c.Dir, namePlatform, []string{s.Tool, "standin", "platform", "--listen", c.Platform}); err != nil {
		return err
	}
	if err := c.startRelays(s); err != nil {
		return err
	}
	if err := c.startServers(s); err != nil {
		return err
	}
	if err := waitOK(ctx, nameRelays, "http://"+c.Relays+standin.PathRelays); err != nil {
		return err
	}
	if err := waitOK(ctx, namePlatform, "http://"+c.Platform+platform.PathVMs); err != nil {
		return err
	}
	if err := c.populatePlatform(ctx); err != nil {
		return err
	}
	if err := c.startDaemons(s); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// populatePlatform writes the VM list and the configuration records.
func (c *Cluster) populatePlatform(ctx context.Context) error {
	for _, vm := range c.VMs {
		if err := c.listVM(ctx, vm, platform.VMLive); err != nil {
			return err
		}
	}
	acceptor := config.Acceptor{Table: platformclient.New(c.Platform)}
	for _, service := range c.Services {
		data, err := config.Encode(service)
		if err != nil {
			return fmt.Errorf("cluster: encode record of service %s: %w", service.Name, err)
		}
		if _, err := acceptor.Apply(ctx, data, 0); err != nil {
			return fmt.Errorf("cluster: apply record of service %s: %w", service.Name, err)
		}
	}
	return nil
}

func (c *Cluster) servers() []config.Server {
	var servers []config.Server
	for _, service := range c.Services {
		servers = append(servers, service.Servers...)
	}
	return servers
}

func (c *Cluster) startServers(s ClusterSettings) error {
	var fleet standin.FleetSettings
	for _, server := range c.servers() {
		settings := s.Server
		settings.ID = server.ID
		settings.FailureDomain = server.FailureDomain
		settings.Slots = server.Slots
		settings.Connections = server.Connections
		settings.Checks = server.Checks
		settings.HonoursID = server.HonoursID
		fleet.Servers = append(fleet.Servers, standin.FleetServer{Listen: server.Address, ServerSettings: settings})
	}
	if !c.Separate {
		return c.startFleet(s.Tool, nameServers, fleet)
	}
	for _, server := range fleet.Servers {
		one := standin.FleetSettings{Servers: []standin.FleetServer{server}}
		if err := c.startFleet(s.Tool, server.ID, one); err != nil {
			return err
		}
	}
	return nil
}

// startRelays starts the relays through which VMs reach each other.
func (c *Cluster) startRelays(s ClusterSettings) error {
	settings := standin.RelaySettings{Listen: c.Relays}
	for _, vm := range c.VMs {
		settings.Relays = append(settings.Relays, standin.RelayRoute{Listen: vm.PeerAddress, Forward: vm.PeerListen})
	}
	path := filepath.Join(c.Dir, "settings", nameRelays+".json")
	if err := saveJSON(path, settings); err != nil {
		return err
	}
	_, err := startProcess(c.Dir, nameRelays, []string{s.Tool, "standin", "relays", "--settings", path})
	return err
}

func (c *Cluster) startFleet(tool, name string, fleet standin.FleetSettings) error {
	path := filepath.Join(c.Dir, "settings", name+".json")
	if err := saveJSON(path, fleet); err != nil {
		return err
	}
	_, err := startProcess(c.Dir, name, []string{tool, "standin", "servers", "--settings", path, "--runs-dir", c.runsDir()})
	return err
}

// daemonSettings are the daemon settings that every cluster sets.
type daemonSettings struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Listen        string `json:"listen"`
	PeerListen    string `json:"peer_listen"`
	Platform      string `json:"platform"`
}

func (c *Cluster) startDaemons(s ClusterSettings) error {
	for _, vm := range c.VMs {
		path := filepath.Join(c.Dir, "settings", vm.ID+".json")
		settings, err := c.daemonSettingsFor(vm, s.DaemonSettings)
		if err != nil {
			return err
		}
		if err := saveJSON(path, settings); err != nil {
			return err
		}
		if _, err := startProcess(c.Dir, vm.ID, []string{s.Daemon, "--settings", path}); err != nil {
			return err
		}
	}
	return nil
}

// daemonSettingsFor returns the settings of a VM's daemon, overridden by extra.
func (c *Cluster) daemonSettingsFor(vm ClusterVM, extra json.RawMessage) (json.RawMessage, error) {
	base, err := json.Marshal(daemonSettings{
		ID:            vm.ID,
		FailureDomain: vm.FailureDomain,
		Listen:        vm.Listen,
		PeerListen:    vm.PeerListen,
		Platform:      c.Platform,
	})
	if err != nil || len(extra) == 0 {
		return base, err
	}
	merged := map[string]json.RawMessage{}
	for _, part := range []json.RawMessage{base, extra} {
		if err := json.Unmarshal(part, &merged); err != nil {
			return nil, fmt.Errorf("cluster: daemon settings: %w", err)
		}
	}
	return json.Marshal(merged)
}

func (c *Cluster) waitReady(ctx context.Context) error {
	for _, server := range c.servers() {
		if err := waitOK(ctx, server.ID, "http://"+server.Address+standin.PathFaults); err != nil {
			return err
		}
	}
	for _, vm := range c.VMs {
		if err := waitOK(ctx, vm.ID, "http://"+vm.PeerListen+pathReady); err != nil {
			return err
		}
	}
	if err := c.waitServed(ctx); err != nil {
		return err
	}
	slog.Info("bench: cluster ready", "size", c.Size, "vms", len(c.VMs), "servers", len(c.servers()), "platform", c.Platform)
	return nil
}

// waitServed waits until every VM answers requests for keys of every service,
// so that a bench run does not measure the first grants of slots.
func (c *Cluster) waitServed(ctx context.Context) error {
	const keys = 24 // with three failure domains, each is home to 4 or more of these keys
	for _, vm := range c.VMs {
		for _, service := range c.Services {
			for i := range keys {
				url := fmt.Sprintf("http://%s/%s/ready", vm.Listen, service.Name)
				if err := waitKeyServed(ctx, vm.ID, url, keyName(uint64(i))); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// LoadCluster reads the description of the cluster in a directory.
func LoadCluster(dir string) (*Cluster, error) {
	data, err := os.ReadFile(filepath.Join(dir, fileCluster))
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	c := &Cluster{Dir: dir}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("cluster: decode description in %s: %w", dir, err)
	}
	return c, nil
}

// Down terminates the processes that the cluster's pid files name, daemons
// first. It sends no signal to a pid that another process has reused.
func (c *Cluster) Down() error {
	names, err := c.processNames()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	slices.SortStableFunc(names, func(a, b string) int { return stopOrder(a) - stopOrder(b) })
	var processes []*Process
	for _, name := range names {
		p, err := loadProcess(c.Dir, name)
		if err != nil {
			return err
		}
		// A stopped process handles SIGTERM only after it continues.
		_ = p.signal(syscall.SIGCONT)
		_ = p.signal(syscall.SIGTERM)
		processes = append(processes, p)
	}
	var killed []string
	for _, p := range processes {
		if !p.waitExit(terminateTimeout) {
			killed = append(killed, p.Name)
			_ = p.signal(syscall.SIGKILL)
		}
	}
	if len(killed) > 0 {
		return fmt.Errorf("cluster: processes did not exit within %s of SIGTERM and were killed: %s", terminateTimeout, strings.Join(killed, ", "))
	}
	return nil
}

// stopOrder ranks processes for Down: daemons, then servers and relays, then the
// platform.
func stopOrder(name string) int {
	switch {
	case strings.HasPrefix(name, "vm-"):
		return 0
	case name == namePlatform:
		return 2
	default:
		return 1
	}
}

func (c *Cluster) processNames() ([]string, error) {
	entries, err := os.ReadDir(filepath.Join(c.Dir, "pids"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".json"))
	}
	return names, nil
}

// Targets returns the addresses of the entry VMs.
func (c *Cluster) Targets() []string {
	var targets []string
	for _, vm := range c.VMs {
		targets = append(targets, vm.Listen)
	}
	return targets
}

// ServerInfos describes all servers in the cluster's records.
func (c *Cluster) ServerInfos() []ServerInfo {
	var infos []ServerInfo
	for _, service := range c.Services {
		for _, s := range service.Servers {
			infos = append(infos, ServerInfo{ID: s.ID, Service: service.Name, Slots: s.Slots, Checks: s.Checks})
		}
	}
	return infos
}

// StandinAddress returns the address of the platform stand-in or of a server.
func (c *Cluster) StandinAddress(name string) (string, error) {
	if name == namePlatform {
		return c.Platform, nil
	}
	for _, server := range c.servers() {
		if server.ID == name {
			return server.Address, nil
		}
	}
	return "", fmt.Errorf("cluster: no stand-in %q", name)
}

func (c *Cluster) runsDir() string { return filepath.Join(c.Dir, "runs") }

// Runs returns the run records of all servers.
func (c *Cluster) Runs() ([]standin.RunRecord, error) {
	files, err := filepath.Glob(filepath.Join(c.runsDir(), "*.runs.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	var lines []standin.RunRecord
	for _, file := range files {
		records, err := loadLines[standin.RunRecord](file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, records...)
	}
	return foldRuns(lines), nil
}
