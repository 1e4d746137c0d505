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
	"bilberrydale/process/loadreport"
	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
	"bilberrydale/process/serverstate"
)

const (
	waitTimeout = time.Minute // of each wait for a condition
	// pollInterval is the resolution of measured times.
	pollInterval = 2 * time.Millisecond
)

// fleetSize is the size of a fleet.
type fleetSize struct {
	hostCount, domainCount int
	serversPerDomain       int // backend servers
}

// fleet runs entry hosts in one process, with real connections, polls and leases
// and the default intervals of the daemon.
type fleet struct {
	fleetSize
	b               *testing.B
	connectionBytes atomic.Int64 // in both directions, on all connections between hosts
	store           *objects.Store
	servers         []*backendServer
	hosts           []*host
}

type backendServer struct {
	name, domain, address string
	leaving               atomic.Bool
}

type host struct {
	mesh     *peer.Mesh
	monitor  *membership.Monitor
	poller   *loadreport.Poller
	elector  *lease.Elector
	registry *serverstate.Registry
	domain   string
	kill     func()
}

// countingListener counts the bytes of accepted connections. Each connection is
// counted once, at its accepting end.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newFleet(b *testing.B, size fleetSize) *fleet {
	f := &fleet{fleetSize: size, b: b, store: objects.NewStore()}
	for d := range size.domainCount {
		for i := range size.serversPerDomain {
			f.addServer(fmt.Sprintf("s%d-%d", d, i), domainName(d))
		}
	}
	var seeds []string
	for i := range size.hostCount {
		h := f.startHost(fmt.Sprint("h", i), domainName(i%size.domainCount), append([]string(nil), seeds...))
		if i < size.domainCount {
			seeds = append(seeds, h.mesh.Self().Address)
		}
	}
	for _, h := range f.hosts {
		f.waitFor("all hosts known", func() bool {
			alive := 0
			for _, p := range h.monitor.Peers() {
				if p.State == membership.Alive {
					alive++
				}
			}
			return alive == size.hostCount-1
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
	f.servers = append(f.servers, s)
}

func (f *fleet) startHost(name, domain string, seeds []string) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	self := peer.Identity{Host: name, Incarnation: uint64(time.Now().UnixNano()), Domain: domain, Region: "r", Address: l.Addr().String()}
	conns := peerconn.Options{Self: self, Secret: []byte("secret")}
	sys, rnd := clock.System{}, clock.SystemRand{}
	h := &host{domain: domain, registry: serverstate.NewRegistry()}
	h.mesh = peer.NewMesh(peer.MeshOptions{Self: self, Clock: sys, Rand: rnd, Dial: func(ctx context.Context, address string, serve peer.Dispatch) (peer.Conn, error) {
		c, err := peerconn.Dial(ctx, address, conns, serve)
		if err != nil {
			return nil, err
		}
		return c, nil
	}})
	h.monitor = membership.New(membership.Options{Link: h.mesh, Clock: sys, Rand: rnd, Seeds: func() []string { return seeds }})
	h.mesh.OnConnect(h.monitor.RecordAlive)
	h.poller = loadreport.New(loadreport.Options{
		Link: h.mesh, View: h.monitor, Monitor: h.monitor, Clock: sys, Rand: rnd,
		Prober: serverprobe.New(serverprobe.Options{}), ListHosts: f.store.Hosts, Targets: func() []loadreport.Target { return f.targets(h) },
	})
	h.elector = lease.NewElector(lease.Options{
		Store: f.store, Clock: sys, Rand: rnd, Key: lease.KeyPrefix + domain, Host: name,
		IsCandidate: func() bool { return membership.IsOwner(h.monitor, self, "lease", 2) },
	})
	listener := &peerconn.Server{Options: conns, Dispatch: h.mesh.Dispatch, OnAccept: func(c peer.Conn) { h.mesh.AddAccepted(c) }}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return listener.Run(ctx, &countingListener{l, &f.connectionBytes}) },
		h.monitor.Run, h.poller.Run, h.elector.Run,
	} {
		running.Go(func() { _ = run(ctx) })
	}
	h.kill = sync.OnceFunc(func() {
		cancel()
		h.mesh.Close()
		running.Wait()
	})
	f.b.Cleanup(h.kill)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) targets(h *host) []loadreport.Target {
	out := make([]loadreport.Target, 0, len(f.servers))
	for _, s := range f.servers {
		out = append(out, loadreport.Target{State: h.registry.Get(s.name, s.address, time.Unix(1, 0)), Domain: s.domain})
	}
	return out
}

func (f *fleet) waitFor(description string, condition func() bool) time.Duration {
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Since(start) > waitTimeout {
			f.b.Fatalf("%s: condition not met within %s", description, waitTimeout)
		}
		<-ticker.C
	}
	return time.Since(start)
}
