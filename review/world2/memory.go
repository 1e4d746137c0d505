package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	weakMachineMB  = 184  // memory_mb of the weakest machines of the site
	addedRoutes    = 1740 // by the largest big_config of the site
	stormTime      = 4400 * time.Millisecond
	stormGap       = 220 * time.Millisecond
	stormPause     = 200 * time.Millisecond
	mostStormTime  = 85 * time.Second // all storms and pauses
	bookingTime    = 800 * time.Millisecond
	keptPerHost    = 8
	lostAtMost     = 3
	watchInterval  = 50 * time.Millisecond // of the platform, for memory
	timeWithoutTry = 20 * time.Second      // of traffic without the disruption
)

// grownConfig returns a configuration that has grown by many routes, of which a version moves the time-outs.
func grownConfig(step int) fields {
	routes := []fields{route("book", "/book/", "unsafe", 4000)}
	for i := range addedRoutes {
		r := route(fmt.Sprintf("r-%d-mgjqnir", i), fmt.Sprintf("/cufi%d/fi50/", i), "streaming", 15000+step)
		r["service"], r["{affinity}"], r["{gap}"] = "model", true, 400
		r["stages"] = []fields{{"service": "kafi81c", "after": []int{}, "bytes": 8000}, {"service": "lovo22d", "after": []int{0}, "bytes": 60000}, {"service": "lohu93e", "after": []int{1}, "bytes": 6000}}
		routes = append(routes, r)
	}
	services := []fields{ledger(), {"name": "model", "{health}": "/health", "{connections}": 270, "protocol": "h1", "tls": false}}
	for _, name := range []string{"kafi81c", "lovo22d", "lohu93e"} {
		services = append(services, fields{"name": name, "{health}": "/health", "{connections}": 270, "protocol": "h1", "tls": false, "{calls}": fields{"slots": 1, "queue": 2, "batch": 8, "{calltime}": 240.0, "{itemtime}": 26.0, "{resultmemory}": 9.6, "{resulttime}": 4.0, "{link}": 10000}})
	}
	return fields{"routes": routes, "services": services, "limits": limits(), "{accounts}": tenants()}
}

// bookings counts what became of requests. It is safe for concurrent use.
type bookings struct {
	mu             sync.Mutex
	sent, answered int
	lost           []string // passed on to a sound replica, and not answered
}

// manyVersions lets configurations come in quick succession while clients book on kept connections.
func manyVersions(w *world) (bool, error) {
	w.memory = weakMachineMB
	list, err := w.startLedger(3)
	if err != nil {
		return false, err
	}
	for _, p := range list {
		p.answer = func(conn net.Conn, q *received) bool {
			time.Sleep(bookingTime)
			id := q.header.Get(wire("{attempt}"))
			return p.reply(conn, http.StatusOK, id, p.stamp(id), "done by "+p.id)
		}
	}
	w.putConfig(grownConfig(0))
	if err := w.startHosts(3, fields{"{drain}": 4000, "{apply}": 4000}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var counts bookings
	for i, h := range w.hosts {
		for c := range keptPerHost {
			clients.Go(func() { w.book(h, list, i*keptPerHost+c, stop, &counts) })
		}
	}
	killed := false
	if w.trouble {
		killed = w.storms()
	} else {
		killed = w.watchMemory(timeWithoutTry)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	for _, text := range counts.lost {
		w.record.note("client: %s", text)
	}
	w.record.note("clients: %d requests sent, %d answered; %d passed on to a sound replica and their kept connections ended without an answer", counts.sent, counts.answered, len(counts.lost))
	return killed && len(counts.lost) > lostAtMost, nil
}

// storms sends versions until a host is killed for its memory, and reports whether one was.
func (w *world) storms() bool {
	step := 0
	for begun := time.Now(); time.Since(begun) < mostStormTime; time.Sleep(stormPause) {
		for storm := time.Now(); time.Since(storm) < stormTime; {
			step++
			w.putConfig(grownConfig(step))
			if w.watchMemory(stormGap) {
				w.record.note("operator: %d versions since the start", step)
				return true
			}
		}
		w.noteMemory(fmt.Sprintf("after %d versions", step))
	}
	return false
}

// watchMemory kills a process that exceeds its memory, as the platform does, and starts it again. It watches for a
// time and reports whether it has killed one.
func (w *world) watchMemory(most time.Duration) bool {
	killed := false
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(min(watchInterval, max(time.Until(end), 0))) {
		for _, h := range w.hosts {
			mb := h.memoryMB()
			if mb <= float64(w.memory) {
				continue
			}
			w.record.note("platform: %s has %.1f MB, over its limit of %d: killed", h.name, mb, w.memory)
			h.kill()
			killed = true
			if err := w.run(h); err != nil {
				w.record.note("platform: %s does not start: %v", h.name, err)
			}
		}
	}
	return killed
}

// noteMemory writes the memory of the hosts to the record.
func (w *world) noteMemory(when string) {
	for _, h := range w.hosts {
		w.record.note("platform: %s has %.1f MB %s", h.name, h.memoryMB(), when)
	}
}

// book sends bookings one after the other on kept connections until stop is closed.
func (w *world) book(h *host, list []*replica, number int, stop <-chan struct{}, counts *bookings) {
	for n := 0; ; {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		r := bufio.NewReader(conn)
		for open := true; open; n++ {
			select {
			case <-stop:
				_ = conn.Close()
				return
			default:
			}
			q := request{method: http.MethodPost, host: clientHost, path: "/book/1", id: ids(fmt.Sprintf("b%02d", number), n), key: key, body: "transfer", deadline: 4 * time.Second}
			open = w.bookOnce(conn, r, q, h, list, counts)
		}
		_ = conn.Close()
	}
}

// bookOnce sends a booking and reports whether the connection can be used again.
func (w *world) bookOnce(conn net.Conn, r *bufio.Reader, q request, h *host, list []*replica, counts *bookings) bool {
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err := io.WriteString(conn, q.text())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(r, &http.Request{Method: q.method})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	ran := runsOf(list, q.id)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	if err == nil {
		counts.answered++
		return !resp.Close
	}
	if len(ran) > 0 {
		counts.lost = append(counts.lost, fmt.Sprintf("%s to %s: %v; run by %v", q.id, h.name, err, ran))
	}
	return false
}
