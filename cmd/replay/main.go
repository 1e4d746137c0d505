// Command replay replays seeded or recorded traces in virtual time on the
// decision code and prints the measures of every policy side by side.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/replay"
	"bilberrydale/internal/settings"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

type options struct {
	seed       int
	deployment string
	trace      string
	policies   string
	out        string
	against    string
	record     string
	recorded   string
	parallel   int
}

func run(args []string) error {
	o := options{seed: 1, policies: strings.Join(replay.PolicyNames(), ","), parallel: max(1, runtime.NumCPU()/4)}
	p := flaggy.NewParser("replay")
	p.Description = "Replays traces on the decision code, in virtual time."
	p.ShowHelpOnUnexpected = false
	set := settings.New(p, "REPLAY")
	set.Int(&o.seed, "seed", "seed of the traces", 0, 1<<31-1)
	set.String(&o.deployment, "deployment", "kalahari or zagara; empty: both", nil)
	set.String(&o.trace, "trace", "one trace by name; empty: all", nil)
	set.String(&o.policies, "policies", "policies to compare, separated by commas", settings.Required)
	set.String(&o.out, "out", "file for the measures as JSON", nil)
	set.String(&o.against, "against", "file of an earlier --out to show beside", nil)
	set.String(&o.record, "record", "file to write the trace to, in place of a replay; needs --deployment and --trace", nil)
	set.String(&o.recorded, "recorded", "file of a recorded trace to replay; needs --deployment and --trace, whose faults happen", nil)
	set.Int(&o.parallel, "parallel", "replays at once", 1, 64)
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	if err := set.Validate(); err != nil {
		return err
	}
	return o.run()
}

func (o *options) run() error {
	job := replay.Job{Seed: uint64(o.seed), Scenario: o.trace, Concurrency: o.parallel}
	for _, d := range replay.Deployments() {
		if o.deployment == "" || o.deployment == d.Name {
			job.Deployments = append(job.Deployments, d)
		}
	}
	for _, name := range strings.Split(o.policies, ",") {
		p, err := replay.PolicyByName(name)
		if err != nil {
			return err
		}
		job.Policies = append(job.Policies, p)
	}
	if o.record != "" {
		return record(job, o.record)
	}
	if err := o.read(&job); err != nil {
		return err
	}
	results, err := replay.Run(job)
	if err != nil {
		return err
	}
	if err := o.show(results); err != nil {
		return err
	}
	if o.out == "" {
		return nil
	}
	f, err := os.Create(o.out)
	if err != nil {
		return err
	}
	defer f.Close()
	return replay.WriteJSON(f, results)
}

func (o *options) show(results []*replay.Result) error {
	if o.against == "" {
		return replay.WriteTable(os.Stdout, results)
	}
	f, err := os.Open(o.against)
	if err != nil {
		return err
	}
	defer f.Close()
	previous, err := replay.ReadPrevious(f)
	if err != nil {
		return err
	}
	return replay.WriteTable(os.Stdout, replay.InterleavePrevious(results, previous))
}

// read takes in a recorded trace, if one is named.
func (o *options) read(job *replay.Job) error {
	if o.recorded == "" {
		return nil
	}
	f, err := os.Open(o.recorded)
	if err != nil {
		return err
	}
	defer f.Close()
	job.Records, err = replay.ReadTrace(f)
	return err
}

// record writes the one generated trace that the job names.
func record(job replay.Job, path string) error {
	for _, d := range job.Deployments {
		for _, s := range replay.Scenarios(d) {
			if s.Name != job.Scenario || len(job.Deployments) != 1 {
				continue
			}
			f, err := os.Create(path)
			if err != nil {
				return err
			}
			return errors.Join(replay.WriteTrace(f, replay.GenerateTrace(d, s, job.Seed)), f.Close())
		}
	}
	return errors.New("--record needs --deployment and --trace")
}
