package world

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrydale/platform/platformtest"
)

// Fields is a JSON object.
type Fields = map[string]any

// Zones and regions of the deployment.
var zones = map[string]string{"khomas-a": "khomas", "erongo-a": "erongo", "oshana-a": "oshana"}

// ZoneNames are the zones in a fixed order.
var ZoneNames = []string{"khomas-a", "erongo-a", "oshana-a"}

// Bounds are those of the sheet of klw-soap.
var Bounds = Fields{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "strict_revoke": true,
	"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "recover_s": 12, "pass_ms": 300, "again_s": 10,
}

// World is a small deployment: the store, the daemons and the servers.
type World struct {
	Record *Record
	Store  *platformtest.Store
	Hosts  []*Host

	dir         string
	mu          sync.Mutex
	serverCount int
	pieces      map[string]Piece // by handle, of all servers and times
}

// Host is an entry host whose daemon runs as a process.
type Host struct {
	Name, Zone   string
	Front, Ready string // addresses
	settings     string
	world        *World
	turnedAway   atomic.Bool
	storeServer  net.Listener // its way to the store
	log          *os.File
	cmd          *exec.Cmd
	exited       chan struct{}
}

// New starts the store. The daemons' settings and logs are kept in a temporary folder.
func New(record *Record) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Store: platformtest.NewStore(), dir: dir, pieces: map[string]Piece{}}
	return w, nil
}

// PutConfig stores a configuration, as the operator does.
func (w *World) PutConfig(version int, routes, services []Fields, keys map[string][]string) {
	tenants := []Fields{}
	for name, k := range keys {
		tenants = append(tenants, Fields{"name": name, "api_keys": k})
	}
	w.Store.Put("config", "main", Fields{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// nextServer returns a new server id.
func (w *World) nextServer() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serverCount++
	return fmt.Sprintf("i-%08x", 0x7f3a91c2+w.serverCount*0x01010101)
}

// internalPorts is the number of ports between daemons.
const internalPorts = 4

// freePorts returns the first of some free ports in a row.
func freePorts() (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		base := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		free := base+internalPorts < 65536
		for p := base; free && p < base+internalPorts; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", internalPorts)
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// AddHost writes the settings of an entry host and starts its daemon with the command of the deploy
// file.
func (w *World) AddHost(zone string) (*Host, error) {
	h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, len(w.Hosts)+1), Zone: zone, world: w}
	var err error
	if h.Front, err = freeAddress(); err != nil {
		return nil, err
	}
	if h.Ready, err = freeAddress(); err != nil {
		return nil, err
	}
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	if err := h.openStore(); err != nil {
		return nil, err
	}
	settings := Fields{
		"node_name": h.Name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": zone, "region": zones[zone],
		"zones": zones, "listen": Fields{"front": h.Front, "ready": h.Ready}, "internal_ports": []int{ports, ports + internalPorts - 1}, "seeds": []string{},
		"bootstrap": true, "tolerance_member": false, "data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"limits":    Fields{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
		"bounds":    Bounds, "platform": Fields{"address": h.storeServer.Addr().String(), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(w.dir, h.Name+".json")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(w.dir, h.Name+".log")); err != nil {
		return nil, err
	}
	w.Hosts = append(w.Hosts, h)
	return h, h.Start()
}

// openStore opens the address at which the store serves this host.
func (h *Host) openStore() (err error) {
	if h.storeServer, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		_ = http.Serve(h.storeServer, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if h.turnedAway.Load() {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			h.world.Store.ServeHTTP(w, r)
		}))
	}()
	return nil
}

// TurnAway lets the store answer all calls of this host with 429, or serve them again.
func (h *Host) TurnAway(away bool) {
	h.world.Record.Note("store", "%s is turned away: %t", h.Name, away)
	h.turnedAway.Store(away)
}

// Start starts the daemon.
func (h *Host) Start() error {
	command, err := deployedCommand()
	if err != nil {
		return err
	}
	h.cmd = exec.Command(command[0], command[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYDALE_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		h.world.Record.Note("daemon", "%s has ended: %v", h.Name, err)
		close(exited)
	}(h.cmd, h.exited)
	h.world.Record.Note("daemon", "%s started, process %d", h.Name, h.cmd.Process.Pid)
	return nil
}

// deployedCommand returns the run line of the deploy file's role.
func deployedCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

// Signal sends a signal to the daemon.
func (h *Host) Signal(s syscall.Signal) {
	h.world.Record.Note("signal", "%s: %s", h.Name, s)
	_ = h.cmd.Process.Signal(s) // fails if the process has ended
}

// Exited is closed once the daemon's process has ended.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// IsReady asks the daemon once whether it is ready.
func (h *Host) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range w.Hosts {
		for !h.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends the daemons. Their logs are removed unless KEEP names a folder, to which they are moved.
func (w *World) Close() {
	for _, h := range w.Hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
		_ = h.log.Close()
		_ = h.storeServer.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, filepath.Join(keep, filepath.Base(w.dir)))
		return
	}
	_ = os.RemoveAll(w.dir)
}
