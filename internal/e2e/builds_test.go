package e2e

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/hop"
)

var otherFlag = flag.String("e2e.other", "", "folder with the programs of another build, to run beside this one; empty: this build twice")

const mixedTables = `routes:
  - {name: transfer, match: {path: /transfer}, deadline: 3s, worth: 1, class: interactive, stages: [{name: book, pool: ledger, budget: 1s, repeatable: false}]}
  - {name: draft, match: {path: /draft}, deadline: 3s, worth: 1, class: standard, stages: [{name: write, pool: writers, budget: 1s, repeatable: true}]}
pools:
  - {name: ledger, kind: service, slots: 8, servers: [{name: ledger-1, address: '%s', domain: d1, region: r1}]}
  - {name: writers, kind: service, slots: 8, servers: [{name: w-0, address: '%s', domain: d1, region: r1}, {name: w-1, address: '%s', domain: d1, region: r1}, {name: w-2, address: '%s', domain: d1, region: r1}, {name: w-3, address: '%s', domain: d1, region: r1}, {name: w-4, address: '%s', domain: d1, region: r1}]}
  - {name: model, kind: engine, model: {name: m}, slots: 8, fencing: true, servers: [{name: m-1, address: '%s', domain: d1, region: r1}]}
`

// mixed is a fleet of two entry hosts whose programs come from two folders.
type mixed struct {
	*WithT
	t        *testing.T
	platform string
	ledger   string
	tables   string
	logs     []*process
}

// mixedHost is one entry host; its settings outlast its process.
type mixedHost struct {
	*process
	name, peer, otherPeer string
	callers, admin        string
}

// Guards against a build that does not read what another one wrote or sent: releases,
// claims, tickets, leases and quarantine on the platform, messages between entry hosts,
// tables and settings. Hosts of two builds serve side by side; then each is replaced by
// the other build, once in either order.
func TestHostsOfTwoBuilds(t *testing.T) {
	own, err := programs()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), own)
	other := *otherFlag
	if other == "" {
		other = own
	}
	for name, builds := range map[string][2]string{"other first": {other, own}, "own first": {own, other}} {
		t.Run(name, func(t *testing.T) { mixedFleet(t, builds[0], builds[1]) })
	}
}

func mixedFleet(t *testing.T, first, second string) {
	f := newMixed(t)
	f.ctl(first, "apply", f.tables)
	f.Expect(f.ctl(second, "diff", f.tables)).To(Equal(f.ctl(first, "diff", f.tables)))
	peers := []string{freeAddress(f.WithT), freeAddress(f.WithT)}
	a := f.start(first, &mixedHost{name: "entry-a", peer: peers[0], otherPeer: peers[1]})
	b := f.start(second, &mixedHost{name: "entry-b", peer: peers[1], otherPeer: peers[0]})
	f.agree(first, a, b)
	f.agree(second, a, b)

	f.claims(a, b)
	f.tickets(a, b)
	f.tickets(b, a)
	f.quarantine(first, second, a, b)
	fence := f.fence(a, b)

	f.replace(second, a)
	f.agree(first, a, b)
	f.bookedOnce("claim-a", a, b)
	f.replace(first, b)
	f.agree(second, a, b)
	f.bookedOnce("claim-b", a, b)
	f.Eventually(func() float64 { return f.fence(a, b) }, 30*time.Second).Should(BeNumerically(">", fence), "the lease goes on with a higher fencing number")

	f.releases(first, second, a, b)
	for _, p := range f.logs {
		f.Expect(p.String()).NotTo(Or(ContainSubstring("msgpack"), ContainSubstring("decode"), ContainSubstring("panic")))
	}
}

func newMixed(t *testing.T) *mixed {
	f := &mixed{WithT: NewWithT(t), t: t, tables: t.TempDir()}
	_, platform := start(t, "standin", "platform", "--listen", "127.0.0.1:0")
	f.platform = "http://" + platform["callers"]
	var addrs []any
	for _, name := range []string{"ledger-1", "w-0", "w-1", "w-2", "w-3", "w-4"} {
		_, a := start(t, "standin", "service", "--listen", "127.0.0.1:0", "--name", name)
		addrs = append(addrs, a["callers"])
		if name != "ledger-1" {
			(&fleet{t: t}).faults(a["callers"], hop.Faults{CrashOnBody: "poison"})
		}
	}
	f.ledger = addrs[0].(string)
	_, a := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--name", "m-1", "--model", "m", "--fencing", "--report-lag", "0s")
	addrs = append(addrs, a["callers"])
	f.Expect(os.WriteFile(filepath.Join(f.tables, "tables.yaml"), fmt.Appendf(nil, mixedTables, addrs...), 0o600)).To(Succeed())
	return f
}

// ctl runs the bilberryctl of a build, which has to succeed, and returns what it prints.
func (f *mixed) ctl(build string, args ...string) string {
	f.t.Helper()
	out, err := f.tryCtl(build, args...)
	f.Expect(err).NotTo(HaveOccurred(), out)
	return out
}

func (f *mixed) tryCtl(build string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(build, "bilberryctl"), append(args, "--platform", f.platform, "--author", "ada")...).CombinedOutput()
	return string(out), err
}

// start runs the host's daemon from a build; half of its settings are variables.
func (f *mixed) start(build string, h *mixedHost) *mixedHost {
	f.t.Helper()
	f.t.Setenv("BILBERRYD_DRAIN_DELAY", "0s")
	f.t.Setenv("BILBERRYD_REGION", "r1")
	p, addresses := startFrom(
		f.t, build, "bilberryd", "--name", h.name, "--domain", "d1", "--platform", f.platform,
		"--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--peer", h.peer, "--peers", h.otherPeer, "--lease-ttl", "5s",
	)
	h.process, h.callers, h.admin = p, addresses["callers"], addresses["admin"]
	f.logs = append(f.logs, p)
	f.Eventually(func() bool { return ready(h.callers) }, 20*time.Second).Should(BeTrue(), p.String())
	return h
}

// replace ends a host with SIGTERM and starts it again from another build.
func (f *mixed) replace(build string, h *mixedHost) {
	f.t.Helper()
	h.signal(syscall.SIGTERM)
	f.Eventually(h.done, 40*time.Second).Should(Receive(BeNil()), h.String())
	f.start(build, h)
}

// agree waits until both hosts have one release in force and know each other alive.
func (f *mixed) agree(build string, a, b *mixedHost) {
	f.t.Helper()
	hosts := a.admin + "," + b.admin
	f.ctl(build, "status", "--hosts", hosts, "--wait", "20s")
	f.Eventually(func() int {
		out, _ := f.tryCtl(build, "peers", "--hosts", hosts)
		return strings.Count(out, "alive")
	}, 20*time.Second, 100*time.Millisecond).Should(BeNumerically(">=", 2), "both know each other")
}

// reply is what a caller got.
type reply struct {
	Status    int
	Body      string
	Kind, Ran string
}

func (f *mixed) post(h *mixedHost, path, key, body string) reply {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	f.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	f.Expect(err).NotTo(HaveOccurred())
	r := reply{Status: resp.StatusCode, Body: string(data)}
	if resp.StatusCode != http.StatusOK {
		f.Expect(json.Unmarshal(data, &r)).To(Succeed(), string(data))
	}
	return r
}

// executed returns how often the ledger ran the operation of a key.
func (f *mixed) executed(key string) int {
	resp, err := http.Get("http://" + f.ledger + "/admin/executed")
	f.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var counts map[string]int
	f.Expect(json.NewDecoder(resp.Body).Decode(&counts)).To(Succeed())
	return counts["/"+key+"/book"]
}

// claims books one key on each host; the other host gives the same answer.
func (f *mixed) claims(a, b *mixedHost) {
	for key, hosts := range map[string][2]*mixedHost{"claim-a": {a, b}, "claim-b": {b, a}} {
		sent := f.post(hosts[0], "/transfer", key, "{}")
		f.Expect(sent.Status).To(Equal(http.StatusOK), sent.Body)
		f.Expect(f.post(hosts[1], "/transfer", key, "{}")).To(Equal(sent))
		f.Expect(f.executed(key)).To(Equal(1))
	}
}

// bookedOnce sends a booked key to both hosts again: it ran, and does not run again.
func (f *mixed) bookedOnce(key string, hosts ...*mixedHost) {
	f.t.Helper()
	for _, h := range hosts {
		r := f.post(h, "/transfer", key, "{}")
		f.Expect(r).To(Or(HaveField("Status", http.StatusOK), HaveField("Ran", "yes")))
	}
	f.Expect(f.executed(key)).To(Equal(1))
}

// tickets spends a ticket of one host on the other, and again on both.
func (f *mixed) tickets(minter, other *mixedHost) {
	f.t.Helper()
	resp, err := http.Post("http://"+minter.callers+"/tickets", "", nil)
	f.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var minted struct{ Ticket string }
	f.Expect(json.NewDecoder(resp.Body).Decode(&minted)).To(Succeed())
	first := f.post(other, "/transfer", minted.Ticket, "{}")
	f.Expect(first.Status).To(Equal(http.StatusOK), first.Body)
	f.Expect(f.post(minter, "/transfer", minted.Ticket, "{}")).To(Equal(first))
	f.Expect(f.post(other, "/transfer", minted.Ticket, "{}")).To(Equal(first))
	f.Expect(f.executed(minted.Ticket)).To(Equal(1))
}

// quarantine has a request crash servers through both hosts; both refuse it then, both
// builds list it, and a lift through one host reaches the other.
func (f *mixed) quarantine(first, second string, a, b *mixedHost) {
	f.t.Helper()
	for _, h := range []*mixedHost{a, b, a, b} {
		f.post(h, "/draft", "", "poison")
	}
	list := func(build string, h *mixedHost) string {
		out, _ := f.tryCtl(build, "quarantine", "list", "--hosts", h.admin)
		return out
	}
	for _, h := range []*mixedHost{a, b} {
		f.Eventually(func() string { return f.post(h, "/draft", "", "poison").Kind }, 10*time.Second, 50*time.Millisecond).Should(Equal("quarantined"))
		f.Expect(list(first, h)).To(Equal(list(second, h)))
	}
	var rows []struct{ Fingerprint string }
	get(f.WithT, "http://"+a.admin+"/quarantine", &rows)
	f.Expect(rows).NotTo(BeEmpty())
	f.ctl(second, "quarantine", "lift", rows[0].Fingerprint, "--hosts", a.admin)
	f.Eventually(func() string { return list(first, b) }, 10*time.Second).ShouldNot(ContainSubstring(rows[0].Fingerprint))
}

// fence returns the highest fencing number under which a host holds the domain's lease.
func (f *mixed) fence(hosts ...*mixedHost) float64 {
	f.t.Helper()
	highest := 0.0
	f.Eventually(func() bool {
		for _, h := range hosts {
			vars := map[string]any{}
			get(f.WithT, "http://"+h.admin+"/debug/vars", &vars)
			if held, fence := find(vars, "lease_held"), find(vars, "lease_fence"); held == true {
				highest = max(highest, fence.(float64))
			}
		}
		return highest > 0
	}, 20*time.Second, 100*time.Millisecond).Should(BeTrue(), "a host holds the lease")
	return highest
}

// find returns the value of a key at any depth.
func find(in map[string]any, key string) any {
	if v, ok := in[key]; ok {
		return v
	}
	for _, v := range in {
		if m, ok := v.(map[string]any); ok {
			if got := find(m, key); got != nil {
				return got
			}
		}
	}
	return nil
}

func get(g *WithT, url string, into any) {
	resp, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
}

// releases applies an edit of a folder that the first build exported with the second, and
// rolls back with the first; both tell the same history.
func (f *mixed) releases(first, second string, a, b *mixedHost) {
	f.t.Helper()
	folder := filepath.Join(f.t.TempDir(), "exported")
	f.ctl(first, "export", folder)
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	f.Expect(err).NotTo(HaveOccurred())
	for _, path := range files {
		data, err := os.ReadFile(path)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(os.WriteFile(path, bytes.Replace(data, []byte("/draft"), []byte("/drafts"), 1), 0o600)).To(Succeed())
	}
	f.Expect(f.ctl(second, "validate", folder)).To(Equal(f.ctl(first, "validate", folder)))
	f.ctl(second, "apply", folder, "--note", "drafts")
	f.agree(first, a, b)
	for _, h := range []*mixedHost{a, b} {
		f.Eventually(func() int { return f.post(h, "/drafts", "", "{}").Status }, 11*time.Second).Should(Equal(http.StatusOK))
	}
	f.ctl(first, "rollback", "1")
	f.agree(second, a, b)
	for _, h := range []*mixedHost{a, b} {
		f.Eventually(func() int { return f.post(h, "/drafts", "", "{}").Status }, 11*time.Second).Should(Equal(http.StatusNotFound))
	}
	f.Expect(f.ctl(second, "history")).To(Equal(f.ctl(first, "history")))
}

func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}
