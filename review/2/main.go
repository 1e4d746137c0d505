// Command 2 plays a small deployment in which stage servers crash and model servers repeat some of
// their refusals late. It exits with 1 if a request that must not be repeated ran twice.
package main

import (
	"cmp"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrydale/review/world"
)

const (
	routeHost, routePath = "pule25.example", "/puxa400/"
	// gap is the mean time between two requests.
	gap      = 80 * time.Millisecond
	traffic  = 90 * time.Second
	deadline = 15 * time.Second
	// srv_crash in the site file: share 0.17 of a service, for_s 4.5. One of 6 crashes at a time.
	stageServers = 6
	crashTime    = 4500 * time.Millisecond
	crashPause   = 500 * time.Millisecond
	// garble, extra late, in the site file: share 0.6 of the servers, x 0.03 of their answers.
	modelServers   = 12
	garbledServers = 7
	repeatedShare  = 0.03
)

// deployment is the world with the servers of this case.
type deployment struct {
	*world.World
	mu     sync.Mutex
	stages []*world.StageServer // with those that crashed
	runs   map[string]int       // by request
}

//go:embed config.json
var config string

func main() {
	code, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review/2:", err)
		code = 2
	}
	os.Exit(code)
}

// play returns the exit status: 1 if the rule was broken, 0 if it held.
func play() (int, error) {
	record, err := world.NewRecord(os.Args[1])
	if err != nil {
		return 2, err
	}
	defer record.Close()
	w, err := world.New(record)
	if err != nil {
		return 2, err
	}
	defer w.Close()
	crashes, extra := os.Getenv("TROUBLE") != "0", os.Getenv("TROUBLE") != "0"
	if os.Getenv("TROUBLE") == "crash" { // only one of the two disruptions
		extra = false
	}
	d := &deployment{World: w, runs: map[string]int{}}
	if err := d.startServers(extra); err != nil {
		return 2, err
	}
	if err := w.PutConfig(config, struct{ Version int }{3}); err != nil {
		return 2, err
	}
	for _, zone := range world.ZoneNames {
		if _, err := w.AddHost(zone); err != nil {
			return 2, err
		}
	}
	if err := w.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	if crashes {
		go d.crashStageServers()
	}
	d.run()
	broken := len(record.Broken())
	fmt.Printf("requests %d, runs %d, crashes %d, refusals %d, extra answers %d, second runs %d\n",
		record.Count("sent"), record.Count("run"), record.Count("crash"), record.Count("refused"), record.Count("extra"), broken)
	if record.Count("run") < record.Count("sent")/4 {
		return 2, fmt.Errorf("too few requests ran")
	}
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}

// addStageServer starts a stage server.
func (d *deployment) addStageServer(zone string) error {
	s, err := d.StartStageServer("kettle-floor", zone, 240*time.Millisecond, 26*time.Millisecond)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stages = append(d.stages, s)
	return nil
}

// crashStageServers lets one stage server crash at a time, the one that holds most results. It comes
// back as a new process.
func (d *deployment) crashStageServers() {
	for {
		time.Sleep(crashPause)
		s := d.fullestStageServer()
		s.Crash()
		time.Sleep(crashTime)
		if d.addStageServer(s.Zone) != nil {
			return
		}
	}
}

// fullestStageServer returns the stage server that holds most results.
func (d *deployment) fullestStageServer() *world.StageServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.MaxFunc(d.stages, func(a, b *world.StageServer) int { return cmp.Compare(a.Held(), b.Held()) })
}

// holds reports whether a stage server has a result.
func (d *deployment) holds(handle string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.stages {
		if s.Holds(handle) {
			return true
		}
	}
	return false
}

// ran counts the runs of a request: TWICE.
func (d *deployment) ran(server, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
	if d.runs[id] > 1 {
		d.Record.Break("request %s runs at %s for the %d. time", id, server, d.runs[id])
	}
}

// repeats lets a model server repeat refusals, at most repeatedShare of its answers.
type repeats struct {
	mu      sync.Mutex
	allowed float64
}

func (r *repeats) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowed += repeatedShare
}

func (r *repeats) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.allowed < 1 {
		return false
	}
	r.allowed--
	return true
}

// startServers starts the stage servers and the model servers, some of which repeat refusals if extra
// is set.
func (d *deployment) startServers(extra bool) error {
	for i := range stageServers {
		if err := d.addStageServer(world.ZoneNames[i%3]); err != nil {
			return err
		}
	}
	for i := range modelServers {
		m := &world.ModelServer{
			Server: world.Server{Service: "recipe-model", Zone: world.ZoneNames[i%3]}, Events: 20, EventGap: 25 * time.Millisecond, Holds: d.holds,
			QueueTime:  func() time.Duration { return time.Duration(500+rand.IntN(1200)) * time.Millisecond },
			FirstEvent: func() time.Duration { return 230 * time.Millisecond }, // 12,000 tokens at 56.6 a ms
		}
		m.Ran = func(id string, _ *http.Request) { d.ran(m.ID, id) }
		if extra && i < garbledServers {
			r := &repeats{}
			m.Answered, m.RepeatRefusal = r.answered, r.take
		}
		if err := d.StartModelServer(m); err != nil {
			return err
		}
	}
	return nil
}

// run sends the clients' requests.
func (d *deployment) run() {
	var all sync.WaitGroup
	end := time.Now().Add(traffic)
	for i := 0; time.Now().Before(end); i++ {
		h := d.Hosts[i%len(d.Hosts)]
		all.Go(func() {
			d.Do(world.Call{
				Host: routeHost, Path: routePath + "2f", Key: "9dnn2ctnfzs989anu6ws", Deadline: deadline, Pieces: "2", FrontAddr: h.Front,
				Body: strings.Repeat("x", 12000), Tokens: "12000,380", Prefix: fmt.Sprintf("%08x:12000", 0x5c1e07a2+i),
			})
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(gap)))
	}
	all.Wait()
}
