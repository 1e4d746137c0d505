package ctl

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/entryhost"
	"bilberrydale/internal/standin/platform"
)

// operator runs commands as one author against one platform.
type operator struct {
	t        *testing.T
	name     string
	platform string
	hosts    string
}

func newOperator(t *testing.T) *operator {
	srv := httptest.NewServer(platform.NewStore().Handler())
	t.Cleanup(srv.Close)
	return &operator{t: t, name: "ada", platform: srv.URL, hosts: "127.0.0.1:1"}
}

func (o *operator) withName(name string) *operator {
	other := *o
	other.name = name
	return &other
}

func (o *operator) run(args ...string) (string, error) {
	var out bytes.Buffer
	all := append(args, "--platform", o.platform, "--author", o.name, "--hosts", o.hosts)
	err := Run(context.Background(), all, &out)
	return out.String(), err
}

func (o *operator) mustRun(args ...string) string {
	o.t.Helper()
	out, err := o.run(args...)
	NewWithT(o.t).Expect(err).NotTo(HaveOccurred(), strings.Join(args, " "))
	return out
}

// copyExample copies the example tables into a temporary folder.
func copyExample(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	NewWithT(t).Expect(os.CopyFS(dir, os.DirFS("../../examples/kalahari"))).To(Succeed())
	return dir
}

func replaceInFile(t *testing.T, dir, file, old, replacement string) {
	t.Helper()
	g := NewWithT(t)
	path := filepath.Join(dir, file)
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(ContainSubstring(old))
	g.Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600)).To(Succeed())
}

// Two operators export the same release and change the same row. The second
// apply would undo the first one, so it must be refused as a whole and name the
// row and the author of the change. An edit of other rows is accepted.
func TestConflictingEditIsRefused(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	ada.mustRun("apply", copyExample(t))
	bo := ada.withName("bo")
	first, second := t.TempDir(), t.TempDir()
	ada.mustRun("export", first)
	bo.mustRun("export", second)

	replaceInFile(t, first, "routes.yaml", "worth: 8", "worth: 9")
	replaceInFile(t, second, "routes.yaml", "worth: 8", "worth: 7")
	replaceInFile(t, second, "pools.yaml", "slots: 16", "slots: 17")
	ada.mustRun("apply", first)
	out, err := bo.run("diff", second)
	g.Expect(err).To(MatchError(ContainSubstring("1 rows conflict")))
	g.Expect(out).To(ContainSubstring(`changed meanwhile by "ada" in release 2`))
	_, err = bo.run("apply", second)
	g.Expect(err).To(MatchError(And(ContainSubstring("nothing was changed"), ContainSubstring("routes/draft"), ContainSubstring("ada"))))

	replaceInFile(t, second, "routes.yaml", "worth: 7", "worth: 8")
	g.Expect(bo.mustRun("apply", second)).To(ContainSubstring("release 3 accepted: 1 rows changed"))
	fresh := t.TempDir()
	ada.mustRun("export", fresh)
	data, err := os.ReadFile(filepath.Join(fresh, "routes.yaml"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(ContainSubstring("worth: 9"))
}

// A folder that was applied still contains old versions of rows that others
// changed. The next apply must not count those as edits and revert them.
func TestReapplyDoesNotRevertRowsOfOthers(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	dir := copyExample(t)
	ada.mustRun("apply", dir)
	other := t.TempDir()
	ada.mustRun("export", other)
	replaceInFile(t, other, "routes.yaml", "worth: 8", "worth: 9")
	ada.mustRun("apply", other)

	replaceInFile(t, dir, "pools.yaml", "slots: 16", "slots: 17")
	g.Expect(ada.mustRun("apply", dir)).To(ContainSubstring("1 other rows in the folder are older"))
	g.Expect(ada.mustRun("apply", dir)).To(ContainSubstring("nothing to change"))
}

func TestApplyWithoutBaseIsRefused(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	ada.mustRun("apply", copyExample(t))
	dir := copyExample(t)
	replaceInFile(t, dir, "routes.yaml", "worth: 8", "worth: 9")
	_, err := ada.run("apply", dir)
	g.Expect(err).To(MatchError(ContainSubstring("--force-rebase")))
	g.Expect(ada.mustRun("apply", dir, "--force-rebase")).To(ContainSubstring("1 rows changed"))
}

// Tables in version control have no base file. The operator names the release
// from which they were edited; a row that was changed since then conflicts.
func TestApplyWithBaseFlag(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	kept, other := copyExample(t), copyExample(t)
	ada.mustRun("apply", other)
	replaceInFile(t, other, "routes.yaml", "worth: 8", "worth: 9")
	ada.mustRun("apply", other)

	replaceInFile(t, kept, "pools.yaml", "slots: 16", "slots: 17")
	replaceInFile(t, kept, "routes.yaml", "worth: 8", "worth: 7")
	_, err := ada.run("apply", kept, "--base", "1")
	g.Expect(err).To(MatchError(And(ContainSubstring("nothing was changed"), ContainSubstring("routes/draft"))))
	replaceInFile(t, kept, "routes.yaml", "worth: 7", "worth: 8")
	g.Expect(ada.mustRun("apply", kept, "--base", "1")).To(ContainSubstring("release 3 accepted: 1 rows changed"))
	_, err = ada.run("diff", kept, "--base", "9")
	g.Expect(err).To(MatchError(ContainSubstring("--base")))
}

func TestBaseOfOtherPlatformIsRefused(t *testing.T) {
	dir := copyExample(t)
	newOperator(t).mustRun("apply", dir)
	_, err := newOperator(t).run("apply", dir)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("which this platform does not have")))
}

func TestExportRefusesToOverwriteUnappliedEdits(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	dir := copyExample(t)
	ada.mustRun("apply", dir)
	ada.mustRun("export", dir)
	replaceInFile(t, dir, "routes.yaml", "worth: 8", "worth: 9")
	_, err := ada.run("export", dir)
	g.Expect(err).To(MatchError(ContainSubstring("1 edited rows")))
}

func TestDiffListsChangedFields(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	dir := copyExample(t)
	ada.mustRun("apply", dir)
	replaceInFile(t, dir, "routes.yaml", "worth: 8", "worth: 9")
	replaceInFile(t, dir, "pools.yaml", "      - {name: encoder-1, address: '127.0.0.1:18201', domain: khomas-1, region: khomas}\n", "")
	out := ada.mustRun("diff", dir)
	g.Expect(out).To(ContainSubstring("routes/draft\n  ~ worth: 8 -> 9\n"))
	g.Expect(out).To(ContainSubstring(`- servers[encoder-1].address: "127.0.0.1:18201"`))
	g.Expect(out).NotTo(ContainSubstring("encoder-2"))
	g.Expect(ada.mustRun("diff", dir, "--json")).To(ContainSubstring(`"field": "worth"`))
}

func TestValidateReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	dir := copyExample(t)
	replaceInFile(t, dir, "routes.yaml", "class: standard", "class: fast")
	replaceInFile(t, dir, "pools.yaml", "slots: 32", "slots: none")
	ada := newOperator(t)
	_, err := ada.run("validate", dir)
	g.Expect(err).To(MatchError(And(ContainSubstring("routes.yaml:"), ContainSubstring("pools.yaml:"))))
	out, err := ada.run("validate", dir, "--json")
	g.Expect(err).To(MatchError("2 faults"))
	g.Expect(out).To(ContainSubstring(`"field": "class"`))
}

// startHost runs an entry host in this process and returns its admin address.
func (o *operator) startHost(name string) string {
	o.t.Helper()
	g := NewWithT(o.t)
	opts := entryhost.DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.PlatformURL = name, "khomas-1", "khomas", o.platform
	opts.ListenAddress, opts.AdminAddress, opts.PeerAddress, opts.LogLevel = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "error"
	ctx, cancel := context.WithCancel(context.Background())
	h, err := entryhost.New(ctx, opts)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	o.t.Cleanup(func() {
		cancel()
		NewWithT(o.t).Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})
	_, admin := h.Addresses()
	return admin
}

func TestCommandsOnRunningHosts(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	ada.mustRun("apply", copyExample(t))
	a, b := ada.startHost("e1"), ada.startHost("e2")
	ada.hosts = a + "," + b
	g.Expect(ada.mustRun("status", "--wait", "10s")).To(ContainSubstring("e2"))
	g.Expect(ada.mustRun("status", "--json")).To(ContainSubstring(`"in_force"`))
	g.Expect(ada.mustRun("peers")).To(HavePrefix("FROM"))
	g.Expect(ada.mustRun("quarantine", "list", "--json")).To(Equal("[]\n"))
	_, err := ada.run("quarantine", "lift", "00000000000000ff")
	g.Expect(err).To(MatchError(ContainSubstring("no entry host has")))
	_, err = ada.run("quarantine", "lift", "xyz")
	g.Expect(err).To(MatchError(ContainSubstring("not a fingerprint")))

	g.Expect(ada.mustRun("explain", "/v1/drafts")).To(And(ContainSubstring("route draft"), ContainSubstring("recipe-12")))
	_, err = ada.run("explain", "/nowhere")
	g.Expect(err).To(MatchError(ContainSubstring("has no route for POST /nowhere")))

	_, err = ada.run("drain")
	g.Expect(err).To(MatchError(ContainSubstring("name one")))
	one := *ada
	one.hosts = a
	one.mustRun("drain")
	g.Expect(one.mustRun("status", "--json")).To(ContainSubstring(`"draining": true`))

	ada.hosts = a + ",127.0.0.1:1"
	_, err = ada.run("status")
	g.Expect(err).To(MatchError("1 of 2 entry hosts do not respond"))
}

func TestStatusFailsWhenHostsDiffer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(checkAgreement([]HostStatus{{Release: 1, Hash: "a"}, {Release: 1, Hash: "a"}})).To(Succeed())
	g.Expect(checkAgreement([]HostStatus{{Release: 0}, {Release: 0}})).To(HaveOccurred())
	g.Expect(checkAgreement([]HostStatus{{Release: 1, Hash: "a"}, {Release: 2, Hash: "b"}})).To(HaveOccurred())
	g.Expect(checkAgreement([]HostStatus{{Release: 1, Hash: "a"}, {Release: 1, Hash: "b"}})).To(HaveOccurred())
}

func TestHistoryAndRollback(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	dir := copyExample(t)
	ada.mustRun("apply", dir, "--note", "first")
	replaceInFile(t, dir, "routes.yaml", "worth: 8", "worth: 9")
	ada.withName("bo").mustRun("apply", dir)
	g.Expect(ada.mustRun("rollback", "1")).To(ContainSubstring("release 3 accepted with the rows of release 1"))
	g.Expect(ada.mustRun("history")).To(MatchRegexp(`(?s)3 .*ada.*rollback to release 1.*2 .*bo.*1 .*ada.*first`))
	_, err := ada.run("rollback", "7")
	g.Expect(err).To(MatchError(ContainSubstring("nothing was changed")))
	_, err = ada.run("rollback", "one")
	g.Expect(err).To(MatchError(ContainSubstring("not a release number")))
}

// The platform is restored to a state before the newest release, while an entry
// host still has that release in force. Recover must accept the tables of the
// host unchanged, under a number above all others.
func TestRecoverPublishesTablesOfHost(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	dir := copyExample(t)
	ada.mustRun("apply", dir)
	replaceInFile(t, dir, "routes.yaml", "worth: 8", "worth: 9")
	ada.mustRun("apply", dir)
	host := ada.startHost("e1")
	ada.hosts = host
	ada.mustRun("status", "--wait", "10s")

	restored := newOperator(t)
	restored.mustRun("apply", copyExample(t))
	_, err := restored.run("recover", host)
	g.Expect(err).To(MatchError(ContainSubstring("nothing was changed")))
	g.Expect(restored.mustRun("recover", host, "--confirm")).To(ContainSubstring("release 3 accepted"))
	out := t.TempDir()
	restored.mustRun("export", out)
	data, err := os.ReadFile(filepath.Join(out, "routes.yaml"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(ContainSubstring("worth: 9"))
}

func TestUnknownCommandAndMissingArgument(t *testing.T) {
	g := NewWithT(t)
	ada := newOperator(t)
	_, err := ada.run("aply", ".")
	g.Expect(err).To(HaveOccurred())
	_, err = ada.run()
	g.Expect(err).To(MatchError(ContainSubstring("validate, export, diff, apply")))
	_, err = ada.run("apply")
	g.Expect(err).To(MatchError("apply: name the folder"))
}
