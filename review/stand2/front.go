package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// front is a process of the program, started as the deploy file says.
type front struct {
	name, listen, ready string
	settings, log       string
	command             *exec.Cmd
	exited              chan struct{}
}

// freePorts returns ports that are free on all of the addresses.
func freePorts(count int, ips ...string) ([]int, error) {
	var ports []int
	for range 1000 {
		l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := l.Close() == nil
		for _, ip := range ips[1:] {
			o, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = o.Close()
		}
		if free {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", count)
}

// startFronts starts a process for each address, all with the same ports, as on the
// machines of a day, and waits until they are ready.
func startFronts(directory, storeAddress string, ips ...string) ([]*front, error) {
	ports, err := freePorts(4, ips...)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	var fronts []*front
	for i, ip := range ips {
		f := &front{
			name: fmt.Sprintf("front-%d", i+1), listen: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		}
		f.settings, f.log = filepath.Join(directory, f.name+".json"), filepath.Join(directory, f.name+".log")
		data, err := json.MarshalIndent(settings(f, ip, fmt.Sprintf("zone-%c", 'a'+i%3), ports, storeAddress, seeds), "", "  ")
		if err != nil {
			return fronts, err
		}
		if err := os.WriteFile(f.settings, data, 0o600); err != nil {
			return fronts, err
		}
		if err := f.start(); err != nil {
			return fronts, err
		}
		fronts = append(fronts, f)
	}
	for _, f := range fronts {
		if err := f.awaitReady(10 * time.Second); err != nil {
			return fronts, err
		}
	}
	return fronts, nil
}

// settings are those of a small deployment.
func settings(f *front, ip, zone string, ports []int, storeAddress string, seeds []string) map[string]any {
	return map[string]any{
		"node": f.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": zone, "region": "region",
		"listen":        map[string]string{"front": f.listen, "readyAddr": f.ready, "control": fmt.Sprintf("%s:%d", ip, ports[2])},
		"internalPorts": []int{ports[3], ports[3]}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
		"limits":      map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": 1200,
		"tolerate":    map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
			"rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 102,
			"recoverS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000, "idleMaxMs": 9000,
		},
		"provider": map[string]any{"address": storeAddress, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "recordBytes": 262144},
	}
}

// started are the processes that were started, so that none outlives this one.
var started struct {
	mu   sync.Mutex
	list []*os.Process
}

func killStarted() {
	started.mu.Lock() // stays locked: no other process is to start
	for _, p := range started.list {
		_ = p.Kill()
	}
}

func (f *front) start() error {
	started.mu.Lock()
	defer started.mu.Unlock()
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/oleanderspool", "forward")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "OLEANDERSPOOL_CONFIG=" + f.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	started.list = append(started.list, c.Process)
	f.command, f.exited = c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(f.exited)
	return nil
}

// awaitReady waits until the process says that it is ready.
func (f *front) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + f.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name)
}

// stop ends the process.
func (f *front) stop() {
	_ = f.command.Process.Kill()
	<-f.exited
}
