// Command world2 runs the cases of the second review that are scripts: it starts the daemon of the deploy file as
// separate processes beside small stand-ins for the platform, replicas and clients, and judges what these see.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldntDo = 2
)

// cases are the cases by name. Each returns whether the rule was broken, or why it could not run.
var cases = map[string]func(*world) (bool, error){
	"stages": stageGraph,
	"keys":   lastTenant,
	"memory": manyVersions,
	"cut":    frozenAndCut,
	"twice":  encodedSlash,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		serveReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(couldntDo)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns its exit code.
func run(name, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntDo
	}
	defer file.Close()
	record := &recorder{begun: time.Now(), out: io.MultiWriter(file, os.Stdout)}
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, with the disruption: %t", name, trouble)
	w, err := newWorld(record, trouble)
	if err != nil {
		record.note("could not run: %v", err)
		return couldntDo
	}
	defer w.close()
	isBroken, err := cases[name](w)
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		return couldntDo
	case isBroken:
		record.note("the rule was broken")
		return broken
	}
	record.note("the rule held")
	return held
}

// readAnswer reads one answer from a connection.
func readAnswer(conn net.Conn, method string) answer {
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(body), err: err}
}
