package base

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the repository root.
const program = "target/geraniumpass"

// Settings are the fields of the gateway's settings that differ between scripts.
type Settings struct {
	ID       string
	Zone     string
	Store    string
	Seeds    []string
	MemoryMB int
	// Bound is the time within which changes and departures must be in force.
	Bound time.Duration
}

// Gateway is a gateway process and the addresses it listens on.
type Gateway struct {
	Settings Settings
	Front    string
	Ready    string
	Control  string

	file string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// freeAddresses returns n free ports of a loopback address.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// All are held until the last is chosen, so that none is chosen twice.
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// NewGateway chooses the addresses of the gateway with the given number. Files go to dir. Each gateway has a
// loopback address of its own, from which nobody opens connections and which differs between runs, so that its
// ports stay free until it listens.
func NewGateway(dir string, number int, s Settings) (*Gateway, error) {
	g := &Gateway{Settings: s}
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%200, pid/200%256, number+1)
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	g.Front, g.Ready, g.Control = addresses[0], addresses[1], addresses[2]
	g.file = filepath.Join(dir, s.ID+".json")
	g.log, err = os.Create(filepath.Join(dir, s.ID+".log"))
	return g, err
}

// writeSettings writes the settings as deploy/gateway.json.tmpl does.
func (g *Gateway) writeSettings(bootstrap bool) error {
	b, err := json.MarshalIndent(map[string]any{
		"role":         "gateway",
		"id":           g.Settings.ID,
		"domain":       g.Settings.Zone,
		"listen":       g.Front,
		"ready":        g.Ready,
		"control":      g.Control,
		"store":        g.Settings.Store,
		"seeds":        g.Settings.Seeds,
		"bootstrap":    bootstrap,
		"link_key":     "geraniumpass-platform-link",
		"grace":        "8s",
		"repeat":       map[string]any{"ratio": 0.2, "slack": 94, "window": "10s"},
		"change_bound": g.Settings.Bound.String(),
		"leave_bound":  g.Settings.Bound.String(),
		"agent_port":   "0",
		"shed":         "ranked",
		"cold":         map[string]any{"overage": 1, "slack": 0},
		"limits":       map[string]any{"memory_mb": g.Settings.MemoryMB},
		"log":          map[string]any{"level": "info", "json": true},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.file, b, 0o600)
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start(bootstrap bool) error {
	if err := g.writeSettings(bootstrap); err != nil {
		return err
	}
	cmd := exec.Command(program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMPASS_BOOT=" + g.file}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.done = cmd, done
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(sig)
	}
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	if done != nil {
		<-done
	}
}

// IsRunning reports whether the process has not ended.
func (g *Gateway) IsRunning() bool {
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// ResidentMB returns the resident memory of the process in MB of 1,048,576 bytes, zero if it is unknown.
func (g *Gateway) ResidentMB() float64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// IsReady asks the process whether it is ready, as the platform does.
func (g *Gateway) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.Ready + "/geraniumpass/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all gateways are ready.
func AwaitReady(all []*Gateway, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, g := range all {
		for !g.IsReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
