package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entry is one process of the role "entry" of the deploy file.
type entry struct {
	ip, front, ready string
	log              string
	command          *exec.Cmd
	done             chan struct{}
	settings         string
}

// network hands out loopback addresses, and ports that are free on all of them.
type network struct {
	front, ready, control, internal int
	machines                        int
}

// maxMachines is the number of addresses on which the ports are free.
const maxMachines = 8

func newNetwork() *network {
	n := &network{}
	var held []io.Closer
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for _, port := range []*int{&n.front, &n.ready, &n.control, &n.internal} {
		for tries := 0; *port == 0; tries++ {
			if tries == 100 {
				fatal(errors.New("no port is free on all addresses"))
			}
			found, listeners := n.freePort()
			*port, held = found, append(held, listeners...)
		}
	}
	return n
}

// freePort returns a port that is free on the addresses of all machines, for TCP and UDP,
// or 0, and what holds it.
func (n *network) freePort() (port int, held []io.Closer) {
	for machine := range maxMachines {
		address := fmt.Sprintf("%s:%d", n.ip(machine), port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return 0, held
		}
		held = append(held, tcp)
		port = tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", n.ip(machine), port))
		if err != nil {
			return 0, held
		}
		held = append(held, udp)
	}
	return port, held
}

func (n *network) ip(machine int) string { return fmt.Sprintf("127.0.1.%d", machine+1) }

// seeds are the control addresses of the first three machines.
func (n *network) seeds() []string {
	var list []string
	for i := range min(3, n.machines) {
		list = append(list, fmt.Sprintf("%s:%d", n.ip(i), n.control))
	}
	return list
}

// newEntry writes the settings of an entry on a machine, as in DEPLOY.md.
func (n *network) newEntry(dir string, machine int, zone, storeAddress string) *entry {
	ip := n.ip(machine)
	e := &entry{ip: ip, front: fmt.Sprintf("%s:%d", ip, n.front), ready: fmt.Sprintf("%s:%d", ip, n.ready)}
	name := fmt.Sprintf("front-%s-%d", zone, machine+1)
	e.log, e.settings = filepath.Join(dir, name+".log"), filepath.Join(dir, name+".json")
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": ip, "zone": zone, "region": "region", "zones": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"listen":        map[string]any{"front": e.front, "readyAddr": e.ready, "control": fmt.Sprintf("%s:%d", ip, n.control)},
		"internalPorts": []int{n.internal, n.internal}, "seeds": n.seeds(), "bootstrap": true, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"tolerate":  map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryRatio": 0.2,
			"retryWindowS": 10, "retrySlack": 102, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000, "idleMaxMs": 9000,
		},
		"provider": map[string]any{
			"address": storeAddress, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0,
			"partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	})
	if err != nil {
		fatal(err)
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		fatal(err)
	}
	return e
}

// start starts the process as the deploy file does, from the repository's root.
func (e *entry) start(root string) {
	program := os.Getenv("PROGRAM") // for trials with another build
	if program == "" {
		program = "target/oleanderspool"
	}
	e.command = exec.Command(filepath.Join(root, program), "forward")
	e.command.Dir = root
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "OLEANDERSPOOL_CONFIG=" + e.settings}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		fatal(err)
	}
	e.done = make(chan struct{})
	started(e.command.Process)
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait() // the state says how it ended
		_ = log.Close()
		close(done)
	}(e.command, e.done)
}

func (e *entry) signal(s syscall.Signal) { _ = e.command.Process.Signal(s) }

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

// ended reports whether the process has ended by itself or by a signal.
func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// awaitReady asks the ready address as the platform does until it answers 200.
func (e *entry) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := client.Get("http://" + e.ready + "/-/readyz"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
