package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// What the configuration and the bounds of the settings say of cold replicas.
const (
	coldPerS  = 9.3
	coldOver  = 1.5
	coldSlack = 5.0
	coldTime  = 3 * time.Second
	mostCold  = coldPerS*coldOver + coldSlack // requests in a second
)

// storeOutage is how long the platform's store is silent.
const storeOutage = 4500 * time.Millisecond

// coldAgain lets a replica become cold again while the platform's store is silent. Its health answers tell that it is
// cold, and so does its entry, as soon as the store takes it.
func coldAgain(w *world) (bool, error) {
	list, err := w.startLedger(3)
	if err != nil {
		return false, err
	}
	service := ledger()
	service["max_conns"], service["cold_start_s"], service["cold_per_s"] = 430, coldTime.Seconds(), coldPerS
	w.putConfig(fields{"routes": []fields{route("status", "/status/", "safe", 2000)}, "services": []fields{service}, "limits": limits(), "tenants": tenants()})
	var coldUntil atomic.Int64 // Unix nanoseconds
	var asked atomic.Int64
	cold := list[1]
	cold.health = func(conn net.Conn) bool {
		asked.Add(1)
		left := max(time.Until(time.Unix(0, coldUntil.Load())), 0)
		return cold.reply(conn, http.StatusOK, "", fmt.Sprintf("Instance-Id: %s\r\nCold-Ms: %d\r\n", cold.id, left.Milliseconds()), "")
	}
	if err := w.startHosts(2, fields{"cold_over": coldOver, "cold_slack": coldSlack, "evacuate_ms": 5000, "drain_ms": 4000, "config_apply_ms": 4000}); err != nil {
		return false, err
	}
	var silent atomic.Bool
	w.store.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		if !silent.Load() {
			return false
		}
		<-r.Context().Done()
		return true
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	var sent, served atomic.Int64
	for i := range w.hosts {
		clients.Go(func() { w.sendSteadily(w.hosts[i], i, stop, &clients, &sent, &served) })
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.record.note("platform: the store is silent")
		silent.Store(true)
		go func() {
			time.Sleep(storeOutage)
			silent.Store(false)
			w.record.note("platform: the store answers again")
		}()
		time.Sleep(500 * time.Millisecond)
	}
	begun := time.Now()
	coldUntil.Store(begun.Add(coldTime).UnixNano())
	w.record.note("replica %s is cold for %s", cold.id, coldTime)
	if !w.trouble {
		w.putServer(cold.id, cold.service, cold.address(), "khomas-b", 6, fields{"cold_left_ms": coldTime.Milliseconds(), "call_seq": 2})
	}
	time.Sleep(coldTime)
	most, at := mostInASecond(cold.ran(), begun, begun.Add(coldTime))
	w.record.note("clients: %d requests sent, %d answered with 200; GET /health at %s: %d", sent.Load(), served.Load(), cold.id, asked.Load())
	w.record.note("replica %s, while cold: at most %d requests in a second, from %.3f s on; the bound is %.2f", cold.id, most, at.Seconds(), mostCold)
	return float64(most) > mostCold, nil
}

// sendSteadily sends 60 requests a second to a host until stop is closed.
func (w *world) sendSteadily(h *host, number int, stop <-chan struct{}, clients *sync.WaitGroup, sent, served *atomic.Int64) {
	tick := time.NewTicker(time.Second / 60)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		clients.Go(func() {
			q := request{method: http.MethodGet, host: clientHost, path: fmt.Sprintf("/status/%d", n), id: ids(fmt.Sprintf("c01%d", number), n), key: key, deadline: time.Second}
			sent.Add(1)
			if a := q.send(h, 2*time.Second); a.err == nil && a.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
}

// mostInASecond returns the most requests that arrived in a second between two times, and where that second began.
func mostInASecond(list []received, from, to time.Time) (most int, begin time.Duration) {
	var at []time.Time
	for _, q := range list {
		if q.at.After(from) && q.at.Before(to) {
			at = append(at, q.at)
		}
	}
	first := 0
	for i, t := range at {
		for t.Sub(at[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, begin = n, at[first].Sub(from)
		}
	}
	return most, begin
}
