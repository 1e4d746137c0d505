package memberbench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrydale/connection/peerconn"
	"bilberrydale/connection/serverprobe"
	objects "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/lease"
	"bilberrydale/process/member"
	"bilberrydale/process/peer"
	"bilberrydale/process/report"
	"bilberrydale/process/server"
)

const (
	patience = time.Minute
	// resolution of measured times.
	resolution = 2 * time.Millisecond
)

// shape is the size of a fleet.
type shape struct {
	hosts, domains int
	servers        int // of each domain
}

// fleet is entry hosts with their real connections, polls and leases in one
// process, with the daemon's default periods.
type fleet struct {
	shape
	b       *testing.B
	bytes   atomic.Int64 // both ways, all connections between hosts
	store   *objects.Store
	backend []*backendServer
	all     []*host
}

type backendServer struct {
	name, domain, address string
	leaving               atomic.Bool
}

type host struct {
	mesh     *peer.Mesh
	monitor  *member.Monitor
	watcher  *report.Poller
	keeper   *lease.Elector
	registry *server.Registry
	domain   string
	kill     func()
}

// counted counts the bytes of accepted connections, which is one end of each.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newFleet(b *testing.B, size shape) *fleet {
	f := &fleet{shape: size, b: b, store: objects.NewStore()}
	for d := range size.domains {
		for i := range size.servers {
			f.addServer(fmt.Sprintf("s%d-%d", d, i), domainName(d))
		}
	}
	var seeds []string
	for i := range size.hosts {
		h := f.start(fmt.Sprint("h", i), domainName(i%size.domains), append([]string(nil), seeds...))
		if i < size.domains {
			seeds = append(seeds, h.mesh.Self().Address)
		}
	}
	for _, h := range f.all {
		f.wait("all hosts known", func() bool {
			alive := 0
			for _, p := range h.monitor.Peers() {
				if p.State == member.Alive {
					alive++
				}
			}
			return alive == size.hosts-1
		})
	}
	return f
}

func domainName(i int) string { return fmt.Sprint("d", i) }

func (f *fleet) addServer(name, domain string) {
	s := &backendServer{name: name, domain: domain}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"running":%d,"queued":1,"slots":8,"models":["m@1"],"role":"decode","leaving":%t}`, time.Now().UnixMilli()%8, s.leaving.Load())
	}))
	f.b.Cleanup(srv.Close)
	s.address = srv.Listener.Addr().String()
	f.backend = append(f.backend, s)
}

func (f *fleet) start(name, domain string, seeds []string) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	self := peer.Identity{Host: name, Incarnation: uint64(time.Now().UnixNano()), Domain: domain, Region: "r", Address: l.Addr().String()}
	conns := peerconn.Options{Self: self, Secret: []byte("secret")}
	sys, rnd := clock.System{}, clock.SystemRand{}
	h := &host{domain: domain, registry: server.NewRegistry()}
	h.mesh = peer.NewMesh(peer.MeshOptions{Self: self, Clock: sys, Rand: rnd, Dial: func(ctx context.Context, address string, serve peer.Dispatch) (peer.Conn, error) {
		c, err := peerconn.Dial(ctx, address, conns, serve)
		if err != nil {
			return nil, err
		}
		return c, nil
	}})
	h.monitor = member.New(member.Options{Link: h.mesh, Clock: sys, Rand: rnd, Seeds: func() []string { return seeds }})
	h.mesh.OnConnect(h.monitor.RecordAlive)
	h.watcher = report.New(report.Options{
		Link: h.mesh, View: h.monitor, Monitor: h.monitor, Clock: sys, Rand: rnd,
		Prober: serverprobe.New(serverprobe.Options{}), ListHosts: f.store.Hosts, Targets: func() []report.Target { return f.targets(h) },
	})
	h.keeper = lease.NewElector(lease.Options{
		Store: f.store, Clock: sys, Rand: rnd, Key: lease.KeyPrefix + domain, Host: name,
		IsCandidate: func() bool { return member.IsOwner(h.monitor, self, "lease", 2) },
	})
	port := &peerconn.Server{Options: conns, Dispatch: h.mesh.Dispatch, OnAccept: func(c peer.Conn) { h.mesh.AddAccepted(c) }}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return port.Run(ctx, &counted{l, &f.bytes}) },
		h.monitor.Run, h.watcher.Run, h.keeper.Run,
	} {
		running.Go(func() { _ = run(ctx) })
	}
	h.kill = sync.OnceFunc(func() {
		cancel()
		h.mesh.Close()
		running.Wait()
	})
	f.b.Cleanup(h.kill)
	f.all = append(f.all, h)
	return h
}

func (f *fleet) targets(h *host) []report.Target {
	out := make([]report.Target, 0, len(f.backend))
	for _, s := range f.backend {
		out = append(out, report.Target{State: h.registry.Get(s.name, s.address, time.Unix(1, 0)), Domain: s.domain})
	}
	return out
}

func (f *fleet) wait(what string, done func() bool) time.Duration {
	began := time.Now()
	look := time.NewTicker(resolution)
	defer look.Stop()
	for !done() {
		if time.Since(began) > patience {
			f.b.Fatalf("%s: not within %s", what, patience)
		}
		<-look.C
	}
	return time.Since(began)
}
