package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// gateway is one process of the router, started as the deploy file says.
type gateway struct {
	name, zone, front, ready, peer string
	memoryMB                       int
	settings                       string // path
	command                        *exec.Cmd
	log                            *os.File
}

// startGateways starts one process for each zone in the list. stores holds the address of the
// store by index of the process.
func startGateways(dir string, zones []string, memoryMB int, stores func(i int) string) ([]*gateway, error) {
	var list []*gateway
	var seeds []string
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: free(ip), ready: free(ip), peer: free(ip), memoryMB: memoryMB}
		list = append(list, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peer)
		}
	}
	for i, g := range list {
		ip, _, _ := net.SplitHostPort(g.front)
		settings := map[string]any{
			"vm": g.name, "failure_domain": g.zone, "ip": ip, "listen": g.front, "ready_listen": g.ready, "peer_listen": g.peer,
			"metrics_listen": free(ip), "store": stores(i), "seeds": seeds, "log_level": "info", "memory_mb": memoryMB, "processor": 0.32,
			"link_mbps": 1000.0, "descriptors": 4100, "grace_s": 6, "drain_s": 2, "hold_max_s": 10, "row_bytes": 65536,
			"retry_ratio": 0.2, "retry_slack": 64, "retry_window": 10,
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return list, err
		}
		path := filepath.Join(dir, g.name+".json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return list, err
		}
		if g.log, err = os.Create(filepath.Join(dir, g.name+".log")); err != nil {
			return list, err
		}
		g.settings = path
		if err := g.start(); err != nil {
			return list, err
		}
	}
	return list, nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.command = exec.Command("target/kumquatcleat-gateway")
	g.command.Env = append(os.Environ(), "KUMQUATCLEAT_NODE_FILE="+g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	return g.command.Start()
}

// awaitReady waits until all gateways say that they are ready.
func awaitReady(list []*gateway, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range list {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", g.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/ready", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopGateways ends the processes.
func stopGateways(list []*gateway) {
	for _, g := range list {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
			_ = g.command.Wait()
		}
		if g.log != nil {
			_ = g.log.Close()
		}
	}
}

// listen opens a free port of a loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "listen:", err)
		os.Exit(2)
	}
	return l
}

// free returns a free port of a loopback address.
func free(ip string) string {
	l := listen(ip)
	defer l.Close()
	return l.Addr().String()
}
