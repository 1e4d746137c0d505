package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientHost is the Host of the routes of all cases.
const clientHost = "pule25.example"

// key and otherKey are keys of clients. No configuration holds otherKey.
const (
	key      = "9dnn2ctnfzs989anu6ws"
	otherKey = "zzzzzctnfzs989anu6ws"
)

// limits are those of the pages' example.
func limits() fields {
	return fields{"{headers}": 16384, "{bodies}": 4194304, "{headertime}": 3000, "{idle}": 15000}
}

// ledger is a service without stages.
func ledger() fields {
	return fields{"name": "ledger", "{health}": "/health", "{connections}": 48, "protocol": "h1", "tls": false}
}

// tenants are one tenant with one key.
func tenants() []fields {
	return []fields{{"name": "bozi300", "{keys}": []string{key}, "priority": 1}}
}

// route returns a route without stages.
func route(name, prefix, kind string, timeoutMS int) fields {
	return fields{"name": name, "host": clientHost, "{prefix}": prefix, "kind": kind, "{timeout}": timeoutMS, "{target}": 200, "priority": 2, "service": "ledger", "{attempts}": 1, "stages": []fields{}, "public": false, "{affinity}": false, "resumable": false}
}

// startLedger starts replicas of the service.
func (w *world) startLedger(n int) (list []*replica, err error) {
	for i := range n {
		p, err := startReplica(fmt.Sprintf("i-%04d", i+1), "ledger", w.record)
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, func() { _ = p.listener.Close() })
		w.putServer(p.id, p.service, p.address(), []string{"khomas-a", "khomas-b"}[i%2], 6, nil)
		list = append(list, p)
	}
	return list, nil
}

// runsOf returns how often a client's attempt was run, by replica.
func runsOf(list []*replica, id string) (out []string) {
	for _, p := range list {
		for _, q := range p.ran() {
			if q.header.Get(wire("{attempt}")) == id {
				out = append(out, fmt.Sprintf("%s %s %s tenant %q", p.id, q.method, q.target, q.header.Get(wire("{account}"))))
			}
		}
	}
	return out
}

// lastTenant takes the last tenant away, and sends with its key, and with one that no configuration held, after
// revoke_ms.
func lastTenant(w *world) (bool, error) {
	list, err := w.startLedger(2)
	if err != nil {
		return false, err
	}
	config := func(t []fields) fields {
		return fields{"routes": []fields{route("book", "/book/", "unsafe", 2000)}, "services": []fields{ledger()}, "limits": limits(), "{accounts}": t}
	}
	w.putConfig(config(tenants()))
	if err := w.startHosts(2, nil); err != nil {
		return false, err
	}
	n, isBroken := 0, false
	try := func(k string, mayRun bool) {
		for _, h := range w.hosts {
			n++
			q := request{method: http.MethodPost, host: clientHost, path: "/book/1", id: ids("a11c", n), key: k, body: "transfer", deadline: 2 * time.Second}
			a := q.send(h, 4*time.Second)
			ran := runsOf(list, q.id)
			w.record.note("client: %s with key %s to %s: %s; run by %v", q.id, k, h.name, a.text(), ran)
			if !mayRun && len(ran) > 0 {
				isBroken = true
			}
		}
	}
	try(key, true)
	try(otherKey, false)
	if !w.trouble {
		time.Sleep(7 * time.Second)
		try(key, true)
		try(otherKey, false)
		return isBroken, nil
	}
	w.putConfig(config([]fields{}))
	time.Sleep(7 * time.Second) // revoke_ms is 5 s
	try(key, false)
	try(otherKey, false)
	return isBroken, nil
}

// graphStages is the number of stages of the route that a configuration adds.
const graphStages = 26

// stageGraph adds a route whose stages each need the results of all earlier ones.
func stageGraph(w *world) (bool, error) {
	prep, err := startReplica("p-0001", "prep", w.record)
	if err != nil {
		return false, err
	}
	model, err := startReplica("m-0001", "model", w.record)
	if err != nil {
		return false, err
	}
	model.answer = func(conn netConn, q *received) bool { return streamEvents(conn, model, q) }
	for _, p := range []*replica{prep, model} {
		w.closers = append(w.closers, func() { _ = p.listener.Close() })
	}
	w.putServer(prep.id, "prep", prep.address(), "khomas-a", 4, nil)
	w.putServer(model.id, "model", model.address(), "khomas-a", 64, nil)
	stream := func(name, prefix string, stages []fields) fields {
		return fields{"name": name, "host": clientHost, "{prefix}": prefix, "kind": "streaming", "{timeout}": 6000, "{target}": 2300, "priority": 1, "service": "model", "{attempts}": 1, "stages": stages, "public": false, "{affinity}": false, "resumable": false, "{gap}": 400}
	}
	services := []fields{
		{"name": "model", "{health}": "/health", "{connections}": 270, "protocol": "h1", "tls": false},
		{"name": "prep", "{health}": "/health", "{connections}": 270, "protocol": "h1", "tls": false, "{calls}": fields{"slots": 4, "queue": 8, "batch": 22, "{calltime}": 20.0, "{itemtime}": 0.5, "{resultmemory}": 64, "{resulttime}": 8.0, "{link}": 10000}},
	}
	draft := stream("draft", "/draft/", []fields{{"service": "prep", "after": []int{}, "bytes": 6000}})
	config := func(routes ...fields) fields {
		return fields{"routes": routes, "services": services, "limits": limits(), "{accounts}": tenants()}
	}
	w.putConfig(config(draft))
	if err := w.startHosts(3, nil); err != nil {
		return false, err
	}
	var stages []fields
	for i := range graphStages {
		after := []int{}
		for j := range i {
			if w.trouble || j == i-1 {
				after = append(after, j)
			}
		}
		stages = append(stages, fields{"service": "prep", "after": after, "bytes": 6000})
	}
	w.putConfig(config(draft, stream("report", "/report-of/", stages)))
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	ask := func(n int, path, pieces string) {
		h := w.hosts[n%len(w.hosts)]
		q := request{method: http.MethodPost, host: clientHost, path: path, id: ids("57a6", n), key: key, body: "prompt", deadline: 6 * time.Second, header: map[string]string{"{items}": pieces, "{inputkey}": ids("7c1e", n)}}
		a := q.send(h, 12*time.Second)
		w.record.note("client: %s %s to %s: %s", q.id, path, h.name, a.text())
		mu.Lock()
		defer mu.Unlock()
		if a.took >= 6*time.Second {
			unanswered++
		}
		if a.took >= 6500*time.Millisecond {
			late++
		}
	}
	pieces := strings.TrimSuffix(strings.Repeat("1,", graphStages), ",")
	for n := range 6 {
		group.Go(func() { ask(n, "/report-of/1", pieces) })
		time.Sleep(100 * time.Millisecond)
	}
	for n := range 20 {
		group.Go(func() { ask(100+n, "/draft/1", "1") })
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	w.record.note("%d requests without an answer at the time-out, %d of them half a second later", unanswered, late)
	before := w.processorTimes()
	time.Sleep(10 * time.Second)
	for i, after := range w.processorTimes() {
		w.record.note("%s has used %.1f s of processors in the last 10 s, with no client connected", w.hosts[i].name, (after - before[i]).Seconds())
	}
	return late*2 > unanswered && late > 0, nil
}

// streamEvents answers with a stream of some events.
func streamEvents(conn netConn, p *replica, q *received) bool {
	id := q.header.Get(wire("{attempt}"))
	var body strings.Builder
	for i := 1; i <= 5; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
	}
	body.WriteString("0\r\n\r\n")
	_, err := io.WriteString(conn, wire("HTTP/1.1 200 OK\r\n{attempt}: "+id+"\r\n"+p.stamp(id)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")+body.String())
	return err == nil
}
