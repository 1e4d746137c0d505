package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace/noop"

	"bilberrydale/connection/backend"
	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/admission"
	"bilberrydale/process/claim"
	"bilberrydale/process/clock"
	"bilberrydale/process/current"
	"bilberrydale/process/drain"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/release"
	"bilberrydale/process/serverstate"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// environment runs entry hosts in this process, with backend servers behind
// relays. The platform and the connections between hosts are in memory.
type environment struct {
	t            testing.TB
	recorder     *Recorder
	objects      *standin.Store
	network      *peertest.Network
	servers      []*backendServer
	deadline     time.Duration // of the routes; callers wait a multiple of it
	randomPicker bool          // use a picker that does not avoid failing servers
	baseline     bool          // claims in memory and no quarantine, for comparison

	mu              sync.Mutex
	hosts           []*host
	lastIncarnation uint64
}

// host is one incarnation of an entry host.
type host struct {
	name       string
	http       *httptest.Server
	store      *killableStore
	runner     *pipeline.Runner
	claims     claim.Claims
	quarantine quarantine.Guard
	registry   *serverstate.Registry
	stop       context.CancelFunc
}

// killableStore is a store that rejects writes once its host has been killed.
type killableStore struct {
	objectapi.Store
	killed context.Context
}

func (s *killableStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if s.killed.Err() != nil {
		return 0, objectapi.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, expect)
}

// hangTimeout is a deadline that only a hanging request exceeds, so that a busy
// machine does not change the result of a test.
const hangTimeout = 10 * time.Second

const (
	shortDeadline = 600 * time.Millisecond // route deadline of fault runs
	stageBudget   = 150 * time.Millisecond // time budget of each stage
)

func newEnvironment(t testing.TB, hosts, servers int) *environment {
	env := &environment{t: t, recorder: NewRecorder(), objects: standin.NewStore(), network: peertest.NewNetwork(), deadline: hangTimeout}
	for i := range servers {
		env.servers = append(env.servers, newBackendServer(t, fmt.Sprint("s", i), env.recorder))
	}
	env.hosts = make([]*host, hosts)
	for i := range env.hosts {
		env.startHost(i)
	}
	t.Cleanup(func() {
		for i := range env.hosts {
			env.killHost(i)
		}
	})
	return env
}

// tables returns one pool and three routes: "draft" with two repeatable stages,
// "chat" with a streaming stage, and "transfer", which must not be repeated.
func (env *environment) tables() table.Tables {
	pool := table.Pool{Name: "all", Kind: table.Service, Slots: 64}
	for _, s := range env.servers {
		pool.Servers = append(pool.Servers, table.Server{Name: s.name, Address: s.relay.Address(), Domain: "d", Region: "r"})
	}
	stage := func(name, path string, repeatable, stream bool) table.Stage {
		return table.Stage{Name: name, Pool: "all", Path: path, Budget: table.Duration(stageBudget), Repeatable: repeatable, Stream: stream}
	}
	route := func(name string, stages ...table.Stage) table.Route {
		return table.Route{
			Name: name, Match: table.Match{Path: "/" + name}, Deadline: table.Duration(env.deadline), Worth: 1,
			Class: table.Interactive, Stages: stages,
		}
	}
	return table.Tables{Pools: []table.Pool{pool}, Routes: []table.Route{
		route("draft", stage("encode", "/whole", true, false), stage("generate", "/last", true, false)),
		route("chat", stage("encode", "/whole", true, false), stage("generate", "/stream", true, true)),
		route("transfer", stage("check", "/whole", true, false), stage("book", "/book", false, false)),
	}}
}

// runnerOptions returns the default options with the timeouts shortened to fit
// shortDeadline.
func runnerOptions() pipeline.Options {
	o := pipeline.DefaultOptions()
	o.MinStallTimeout, o.ProbeTimeout, o.LateResultTimeout = 40*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond
	return o
}

// startHost starts a new incarnation of host i.
func (env *environment) startHost(i int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.lastIncarnation++
	name := fmt.Sprint("h", i)
	killed, stop := context.WithCancel(context.Background())
	link := env.network.Join(peer.Identity{Host: name, Incarnation: env.lastIncarnation})
	h := &host{name: name, store: &killableStore{env.objects, killed}, stop: stop, registry: serverstate.NewRegistry()}
	shared := quarantine.NewSharedGuard(clock.System{}, clock.SystemRand{}, link, quarantine.DefaultOptions())
	opts := claim.DefaultOptions()
	opts.WriteInterval, opts.StoreBackoff = 5*time.Millisecond, 50*time.Millisecond
	h.claims = claim.New(claim.Config{Host: name, Incarnation: env.lastIncarnation, Store: h.store, Clock: clock.System{}, Link: link, Options: opts})
	h.quarantine = shared
	h.runner = &pipeline.Runner{
		Backend: backend.NewHTTPClient(backend.HTTPOptions{DialTimeout: 100 * time.Millisecond}), Admission: admission.AlwaysAdmit{},
		Quarantine: shared, Isolator: shared, Clock: clock.System{}, Rand: clock.SystemRand{},
		Tracer: noop.NewTracerProvider().Tracer(""), Host: name, Incarnation: env.lastIncarnation, Options: runnerOptions(),
	}
	if env.baseline {
		h.claims, h.quarantine = claim.NewMemory(), quarantine.AllowAll{}
		h.runner.Quarantine, h.runner.Isolator = h.quarantine, nil
	}
	h.http = httptest.NewUnstartedServer(env.handler(h))
	h.http.Config.BaseContext = func(net.Listener) context.Context { return killed }
	h.http.Start()
	env.hosts[i] = h
}

func (env *environment) handler(h *host) http.Handler {
	inForce := &current.Value[snapshot.Snapshot]{}
	rows, err := table.EncodeRows(env.tables())
	if err != nil {
		env.t.Fatal(err)
	}
	rel := release.Release{Number: 1}
	for key, data := range rows {
		rel.Rows = append(rel.Rows, release.Row{Key: key, Data: data})
	}
	snap, err := snapshot.Build(rel, snapshot.Options{
		Registry: h.registry, Now: time.Now(),
		NewPicker: func(_ table.Pool, servers []pick.Server) pick.Picker {
			if env.randomPicker {
				return pick.NewRandomPicker(servers)
			}
			return pick.NewLocalityPicker(pick.DefaultOptions(h.name, "d", "r"), servers)
		},
	})
	if err != nil {
		env.t.Fatal(err)
	}
	inForce.Store(snap)
	return &entry.Handler{
		InForce: inForce, Runner: h.runner, Admission: admission.AlwaysAdmit{}, Claims: h.claims, Quarantine: h.quarantine,
		Gate: &drain.Gate{}, Clock: clock.System{}, Log: log.New(io.Discard), Tracer: noop.NewTracerProvider().Tracer(""),
		Headers: entry.DefaultHeaders(), Limits: entry.DefaultLimits(), Counters: &entry.Counters{},
	}
}

// restartHosts restarts every host, as the baseline or with claims and quarantine.
func (env *environment) restartHosts(baseline bool) {
	env.baseline = baseline
	for i := range env.hosts {
		env.killHost(i)
		env.startHost(i)
	}
}

// killHost stops host i like SIGKILL does: the connections of its callers are
// closed, and it sends nothing more to other hosts or to the platform.
func (env *environment) killHost(i int) {
	env.mu.Lock()
	h := env.hosts[i]
	env.mu.Unlock()
	h.stop()
	env.network.Leave(h.name)
	h.http.CloseClientConnections()
	go h.http.Close()
}

// host returns the current incarnation of host i modulo the number of hosts.
func (env *environment) host(i int) *host {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.hosts[i%len(env.hosts)]
}

// send sends op to host i once and reads the response like a caller does.
// Without a key nothing links the sends of op, so each gets its own token.
func (env *environment) send(i int, op *Operation, key string) Response {
	sent := op.Token
	if key == "" {
		sent = fmt.Sprint(op.Token, "#", len(op.Responses))
	}
	resp := env.request(i, op.Route, sent, key)
	resp.Sent = sent
	resp.Belied = resp.Ran == RanNo && env.recorder.Received(sent)
	return resp
}

func (env *environment) request(i int, route, sent, key string) Response {
	ctx, cancel := context.WithTimeout(context.Background(), 5*env.deadline)
	defer cancel()
	body, _ := json.Marshal(operationBody{Token: sent})
	resp, data, err := env.post(ctx, i, "/"+route, key, body, route == "chat")
	if err != nil {
		return Response{Kind: "connection"}
	}
	if resp.StatusCode != http.StatusOK {
		var p entry.Problem
		if json.Unmarshal(data, &p) != nil {
			return Response{Kind: "connection"}
		}
		return Response{Ran: Ran(p.Ran), Kind: string(p.Kind)}
	}
	if resp.Header.Get("Content-Type") == entry.StreamMediaType {
		return parseStream(sent, data)
	}
	return checkBody(sent, string(data))
}

func checkBody(sent, text string) Response {
	var got operationBody
	_ = json.Unmarshal([]byte(text), &got)
	if got.Token == "" {
		got.Token = sent // an unreadable body counts as truncated, not as misdelivered
	}
	return Response{Whole: true, Token: got.Token, Right: text == expectedBody(got.Token)}
}
