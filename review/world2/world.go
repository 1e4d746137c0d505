package main

import (
	"bytes"
	"fmt"
	"io"
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

	"bilberrydale/platform/platformtest"
)

// fields is a JSON object.
type fields = map[string]any

// world is a small deployment: the platform's store, replicas and entry hosts on loopback addresses.
type world struct {
	record  *recorder
	trouble bool
	dir     string
	store   *platformtest.Store
	address string // of the store
	version int
	memory  int // memory_mb of each host
	hosts   []*host
	closers []func()
}

// host is one process of the system.
type host struct {
	name, front, ready string
	settings           string // path
	cmd                *exec.Cmd
	log                *os.File
}

// recorder writes what was sent, answered and run. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	out   io.Writer
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the platform's store.
func newWorld(record *recorder, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: record, trouble: trouble, dir: dir, store: platformtest.NewStore(), memory: 284}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.address = l.Addr().String()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return w, nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, c := range w.closers {
		c()
	}
	_ = os.RemoveAll(w.dir)
}

// putConfig writes a configuration of the next version, which the store's answer acknowledges.
func (w *world) putConfig(config fields) {
	w.version += 3
	config["version"] = w.version
	w.store.PutRaw("config", "main", encode(config))
	w.record.note("operator: configuration %d is acknowledged", w.version)
}

// putServer writes the entry of a replica.
func (w *world) putServer(id, service, address, zone string, slots int, more fields) {
	entry := fields{"service": service, "address": address, "{domain}": zone, "version": "v1", "slots": slots, "state": "ready", "{cold}": 0, "{beat}": 1, "{started}": bornMS}
	for k, v := range more {
		entry[k] = v
	}
	w.store.PutRaw("servers", id, encode(entry))
}

// bornMS is the start of the replicas that do not start again.
const bornMS = 1_790_000_000_000

// freePorts returns n ports in sequence that are free now.
func freePorts(n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in sequence", n)
}

// startHost starts the daemon of the deploy file with the settings of a small deployment.
func (w *world) startHost(name, zone string, bounds fields) (*host, error) {
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	h := &host{name: name, front: at(0), ready: at(1)}
	all := fields{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "{drain}": 2500, "{grace}": 8, "loss_slack_ms": 200, "{apply}": 2500, "rollback_slack_ms": 250,
		"max_stretch_ms": 6000, "{strict}": true, "{revoke}": 5000, "{ratio}": 0.2, "{window}": 10, "{slack}": 52, "recover_s": 12, "pass_ms": 300, "again_s": 10,
	}
	for k, v := range bounds {
		all[k] = v
	}
	settings := fields{
		"{host}": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "{domain}": zone, "region": "khomas",
		"{domains}": fields{"khomas-a": "khomas", "khomas-b": "khomas"},
		"listen":    fields{"front": h.front, "ready": h.ready, "control": ""}, "{ports}": []int{port + 2, port + 3}, "seeds": []string{}, "{first}": false, "tolerance_member": false,
		"limits": fields{"{share}": 0.4, "cores": 1, "{memory}": w.memory, "{files}": 4100, "{link}": 1000.0, "disk_mb": 0}, "data_dir": nil, "discovery": "platform", "entry": "vip", "{heartbeat}": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "{accounts}", "platform", "stages"}, "bounds": all,
		"platform": fields{"address": w.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	}
	h.settings = filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(h.settings, encode(settings), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := w.run(h); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}

// run starts the process of a host.
func (w *world) run(h *host) error {
	h.cmd = exec.Command("target/bilberryedge")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYDALE_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.record.note("platform: starts %s", h.name)
	return h.cmd.Start()
}

// startHosts starts some hosts and waits until all are ready.
func (w *world) startHosts(n int, bounds fields) error {
	for i := range n {
		if _, err := w.startHost(fmt.Sprintf("front-%d", i+1), []string{"khomas-a", "khomas-b"}[i%2], bounds); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !until(10*time.Second, h.isReady) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	w.record.note("platform: all hosts are ready")
	return nil
}

// isReady asks as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// processorTimes returns the time of processors that each host has used.
func (w *world) processorTimes() []time.Duration {
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	out := make([]time.Duration, len(w.hosts))
	for i, h := range w.hosts {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest) // the first is the third of the line
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		out[i] = time.Duration(user+system) * tick
	}
	return out
}

// memoryMB returns the resident memory of the process that is its own, without files such as the program, in megabytes
// of 2^20 bytes.
func (h *host) memoryMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	var kb float64
	_, _ = fmt.Sscan(rest, &kb) // 0 once the process has ended
	return kb / 1024
}

// kill ends the process.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
}

// until waits for a condition and reports whether it came to hold.
func until(most time.Duration, condition func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// answer is what a client got.
type answer struct {
	status int // 0: the connection ended without a whole answer
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// text describes an answer in the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer after %.3f s (status %d, %d bytes): %v", a.took.Seconds(), a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d after %.3f s, signature %q, %d bytes %.60q", a.status, a.took.Seconds(), a.header.Get(wire("{signature}")), len(a.body), a.body)
}

// request is a request of a client, on a connection of its own.
type request struct {
	method, host, path, id, key, body string
	deadline                          time.Duration
	header                            map[string]string
}

// send sends a request to a host as text, so that nothing changes it, and reads the answer.
func (q request) send(to *host, wait time.Duration) (a answer) {
	begun := time.Now()
	defer func() { a.took = time.Since(begun) }()
	conn, err := net.DialTimeout("tcp", to.front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(begun.Add(wait))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, q.method)
}

// text returns the request as sent.
func (q request) text() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n{attempt}: %s\r\n{deadline}: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return wire(b.String())
}

// ids returns the ids of requests with a prefix, as text.
func ids(prefix string, n int) string { return fmt.Sprintf("%s%012x", prefix, n) }
