package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// netConn is a connection to a host.
type netConn = net.Conn

// The answer of the replica that is a process of its own: two halves with work between them, and neither a length nor
// chunks.
const (
	firstHalf  = "booked: 40 bars from khomas "
	secondHalf = "to oshana, ledger entry 7781"
	halfTime   = 1500 * time.Millisecond
)

// serveReplica is the process of a replica with an id at an address. It tells on standard output what it does.
func serveReplica(args []string) {
	id, address := args[0], args[1]
	var l net.Listener
	var err error
	for range 100 { // the address may be in use for a moment
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntDo)
	}
	p := &replica{id: id, service: "ledger", listener: l, born: time.Now().UnixMilli()}
	p.answer = func(conn net.Conn, q *received) bool {
		attempt := q.header.Get(wire("{attempt}"))
		fmt.Println("runs", attempt)
		_, _ = io.WriteString(conn, wire("HTTP/1.1 200 OK\r\n{attempt}: "+attempt+"\r\n"+p.stamp(attempt)+"Connection: close\r\n\r\n")+firstHalf)
		fmt.Println("half", attempt)
		time.Sleep(halfTime)
		_, _ = io.WriteString(conn, secondHalf)
		fmt.Println("whole", attempt)
		return false
	}
	fmt.Println("listens")
	p.serve()
}

// process is a replica that runs as a process of its own.
type process struct {
	id, address string
	cmd         *exec.Cmd
	lines       chan string
}

// startProcess starts a replica as a process and waits until it listens.
func (w *world) startProcess(id, address string) (*process, error) {
	p := &process{id: id, address: address, lines: make(chan string, 100)}
	p.cmd = exec.Command("target/review2", "replica", id, address)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, func() { p.kill() })
	go func() {
		var text strings.Builder
		b := make([]byte, 4096)
		for {
			n, err := out.Read(b)
			text.Write(b[:n])
			for {
				line, rest, found := strings.Cut(text.String(), "\n")
				if !found {
					break
				}
				w.record.note("replica %s: %s", id, line)
				select {
				case p.lines <- line:
				default:
				}
				text.Reset()
				text.WriteString(rest)
			}
			if err != nil {
				return
			}
		}
	}()
	if !p.await("listens", 5*time.Second) {
		return nil, fmt.Errorf("replica %s does not listen", id)
	}
	return p, nil
}

// await waits for a line that begins with a word.
func (p *process) await(word string, most time.Duration) bool {
	timeout := time.After(most)
	for {
		select {
		case line := <-p.lines:
			if strings.HasPrefix(line, word) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// kill ends the process.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// crashAndRestart lets the replica crash, and start again at its address after 2 s.
func (w *world) crashAndRestart(p *process, beat int) (*process, error) {
	w.record.note("replica %s crashes", p.id)
	p.kill()
	time.Sleep(2 * time.Second)
	next, err := w.startProcess(p.id, p.address)
	if err == nil {
		w.putServer(p.id, "ledger", p.address, "khomas-a", 6, fields{"{started}": time.Now().UnixMilli(), "{beat}": beat})
	}
	return next, err
}

// startCut starts the replica that is a process, and three hosts.
func (w *world) startCut() (*process, error) {
	port, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	p, err := w.startProcess("i-0001", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return nil, err
	}
	w.putServer(p.id, "ledger", p.address, "khomas-a", 6, fields{"{started}": time.Now().UnixMilli()})
	w.putConfig(fields{"routes": []fields{route("book", "/book/", "unsafe", 15000)}, "services": []fields{ledger()}, "limits": limits(), "{accounts}": tenants()})
	return p, w.startHosts(3, nil)
}

// frozenAndCut freezes a host while a replica answers it, and lets the replica crash and start again meanwhile. With
// TROUBLE=crash no host freezes.
func frozenAndCut(w *world) (bool, error) {
	freezes := os.Getenv("TROUBLE") != "crash"
	p, err := w.startCut()
	if err != nil {
		return false, err
	}
	isBroken := false
	for n := range 3 {
		h := w.hosts[n]
		q := request{method: http.MethodPost, host: clientHost, path: "/book/1", id: ids("c07e", n), key: key, body: "transfer", deadline: 15 * time.Second}
		answers := make(chan answer, 1)
		go func() { answers <- q.send(h, 20*time.Second) }()
		if !p.await("half", 5*time.Second) {
			return false, fmt.Errorf("the replica was not asked")
		}
		time.Sleep(200 * time.Millisecond)
		if w.trouble {
			if freezes {
				w.record.note("platform: %s freezes", h.name)
				h.signal(syscall.SIGSTOP)
			}
			time.Sleep(200 * time.Millisecond)
			p, err = w.crashAndRestart(p, n+2)
			time.Sleep(800 * time.Millisecond)
			if freezes {
				w.record.note("platform: %s wakes", h.name)
				h.signal(syscall.SIGCONT)
			}
			if err != nil {
				return false, err
			}
		}
		a := <-answers
		w.record.note("client: %s to %s: %s", q.id, h.name, a.text())
		if !w.trouble && (a.status != http.StatusOK || a.body != firstHalf+secondHalf) {
			return false, fmt.Errorf("no whole answer without the disruption")
		}
		if a.err == nil && a.status/100 == 2 && a.body != firstHalf+secondHalf {
			isBroken = true
		}
		time.Sleep(time.Second)
	}
	return isBroken, nil
}
