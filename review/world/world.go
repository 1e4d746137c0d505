package world

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"bilberrydale/platform/platformtest"
)

// Zones and regions of the deployment.
var zones = map[string]string{"khomas-a": "khomas", "erongo-a": "erongo", "oshana-a": "oshana"}

// ZoneNames are the zones in a fixed order.
var ZoneNames = []string{"khomas-a", "erongo-a", "oshana-a"}

//go:embed wire.json settings.json bounds.json
var files embed.FS

// Wire are the names that the users' pages give to headers, paths and bodies.
var Wire struct {
	AttemptID, DeadlineMS, ExpectInstance, InstanceID, Inputs, NotExecuted, PieceKey, Pieces, PromptPrefix, Stamp, ServerLoad, TokenCounts string
	StageRun, StageFree, Report                                                                                                            string
	Entry, StageReport, ModelReport                                                                                                        string // formats
}

func init() {
	if err := json.Unmarshal(mustRead("wire.json"), &Wire); err != nil {
		panic(err)
	}
}

// mustRead returns an embedded file.
func mustRead(name string) []byte {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return data
}

// World is a small deployment: the store, the daemons and the servers.
type World struct {
	Record *Record
	Store  *platformtest.Store
	Hosts  []*Host
	Bounds string // of the deployment, as JSON; those of klw-soap's sheet unless changed

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
	w := &World{Record: record, Store: platformtest.NewStore(), Bounds: string(mustRead("bounds.json")), dir: dir, pieces: map[string]Piece{}}
	go w.closeOnSignal()
	return w, nil
}

// closeOnSignal ends the daemons if this process is told to end.
func (w *World) closeOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	<-told
	w.Close()
	os.Exit(statusNotRun)
}

// statusNotRun is the exit status of a case that could not run.
const statusNotRun = 2

// PutConfig stores a configuration, as the operator does: a template with its values filled in.
func (w *World) PutConfig(text string, values any) error {
	t, err := template.New("config").Parse(text)
	if err != nil {
		return err
	}
	var config bytes.Buffer
	if err := t.Execute(&config, values); err != nil {
		return err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, config.Bytes()); err != nil {
		return err
	}
	w.Store.PutRaw("config", "main", compact.Bytes())
	return nil
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

// Ports for the daemons lie below those that the system takes for outgoing connections: one of these
// could take a port before its daemon listens there.
const minPort, maxPort = 12000, 32000

// freePorts returns the first of n free ports in a row.
func freePorts(n int) (int, error) {
	for range 1000 {
		base := minPort + rand.IntN(maxPort-minPort-n)
		free := true
		for p := base; free && p < base+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// AddHost writes the settings of an entry host and starts its daemon with the command of the deploy
// file.
func (w *World) AddHost(zone string) (*Host, error) {
	h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, len(w.Hosts)+1), Zone: zone, world: w}
	ports, err := freePorts(internalPorts + 2)
	if err != nil {
		return nil, err
	}
	h.Front, h.Ready = fmt.Sprintf("127.0.0.1:%d", ports+internalPorts), fmt.Sprintf("127.0.0.1:%d", ports+internalPorts+1)
	if err := h.openStore(); err != nil {
		return nil, err
	}
	t, err := template.New("settings").Parse(string(mustRead("settings.json")))
	if err != nil {
		return nil, err
	}
	var settings bytes.Buffer
	err = t.Execute(&settings, struct {
		Name, Zone, Region, Front, Ready, Bounds, Store string
		FirstPort, LastPort                             int
	}{h.Name, zone, zones[zone], h.Front, h.Ready, w.Bounds, h.storeServer.Addr().String(), ports, ports + internalPorts - 1})
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(w.dir, h.Name+".json")
	if err := os.WriteFile(h.settings, settings.Bytes(), 0o600); err != nil {
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
		if h.exited == nil {
			continue // it did not start
		}
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
