package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	lossEvery = 3  // a replica loses one answer of so many requests that it has run
	requests  = 40 // of clients, one after the other
	pause     = 250 * time.Millisecond
)

// encodedSlash sends unsafe requests whose path has an encoded slash where the prefix of a safe route has a slash,
// while a replica loses some answers.
func encodedSlash(w *world) (bool, error) {
	list, err := w.startLedger(2)
	if err != nil {
		return false, err
	}
	if w.trouble {
		list[0].answer = w.loseAnswers(list[0])
	}
	safe := route("status", "/v1/status/", "safe", 2000)
	safe["{attempts}"] = 2
	w.putConfig(fields{"routes": []fields{route("book", "/v1/", "unsafe", 2000), safe}, "services": []fields{ledger()}, "limits": limits(), "{accounts}": tenants()})
	if err := w.startHosts(2, nil); err != nil {
		return false, err
	}
	twice := 0
	for n := range requests {
		path := "/v1/status%2Fkhomas"
		if n%5 >= 3 {
			path = "/v1/transfers"
		}
		q := request{method: http.MethodPost, host: clientHost, path: path, id: ids("7b1c", n), key: key, body: "transfer", deadline: 2 * time.Second}
		a := q.send(w.hosts[n%2], 4*time.Second)
		ran := runsOf(list, q.id)
		w.record.note("client: %s POST %s: %s; run %d times: %v", q.id, path, a.text(), len(ran), ran)
		if len(ran) > 1 {
			twice++
		}
		time.Sleep(pause)
	}
	w.record.note("%d of %d requests were run twice", twice, requests)
	return twice > 0, nil
}

// loseAnswers lets a replica run each request, and reset the connection in place of every third answer.
func (w *world) loseAnswers(p *replica) func(net.Conn, *received) bool {
	var runs atomic.Int64
	return func(conn net.Conn, q *received) bool {
		id := q.header.Get(wire("{attempt}"))
		time.Sleep(15 * time.Millisecond)
		if runs.Add(1)%lossEvery != 0 {
			return p.reply(conn, http.StatusOK, id, p.stamp(id), "done by "+p.id)
		}
		w.record.note("replica %s has run %s, and its answer is lost", p.id, id)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close resets the connection
		}
		return false
	}
}
