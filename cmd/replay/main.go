// Command replay replays generated or recorded traces in virtual time on the code
// for admission and server selection, and prints the results of the policies side
// by side.
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

// options holds the values of the flags; run describes each.
type options struct {
	seed         int
	deployment   string
	trace        string
	policies     string
	outFile      string
	baselineFile string
	recordFile   string
	recordedFile string
	parallel     int
}

func run(args []string) error {
	o := options{seed: 1, policies: strings.Join(replay.PolicyNames(), ","), parallel: max(1, runtime.NumCPU()/4)}
	parser := flaggy.NewParser("replay")
	parser.Description = "Replays traces in virtual time on the code for admission and server selection."
	parser.ShowHelpOnUnexpected = false
	set := settings.New(parser, "REPLAY")
	set.Int(&o.seed, "seed", "seed of the generated traces", 0, 1<<31-1)
	set.String(&o.deployment, "deployment", "kalahari or zagara; empty: both", nil)
	set.String(&o.trace, "trace", "name of one trace; empty: all", nil)
	set.String(&o.policies, "policies", "policies to compare, separated by commas", settings.Required)
	set.String(&o.outFile, "out", "file to write the results to as JSON", nil)
	set.String(&o.baselineFile, "against", "file written by an earlier --out to show beside the results", nil)
	set.String(&o.recordFile, "record", "file to write the generated trace to instead of replaying it; needs --deployment and --trace", nil)
	set.String(&o.recordedFile, "recorded", "file of a recorded trace to replay; needs --deployment and --trace, whose faults are injected", nil)
	set.Int(&o.parallel, "parallel", "maximum replays at a time", 1, 64)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if err := set.Validate(); err != nil {
		return err
	}
	return o.run()
}

// run replays the selected traces, or writes one to a file, as the options say.
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
	if o.recordFile != "" {
		return recordTrace(job, o.recordFile)
	}
	if err := o.readRecordedTrace(&job); err != nil {
		return err
	}
	results, err := replay.Run(job)
	if err != nil {
		return err
	}
	if err := o.printResults(results); err != nil {
		return err
	}
	if o.outFile == "" {
		return nil
	}
	f, err := os.Create(o.outFile)
	if err != nil {
		return err
	}
	defer f.Close()
	return replay.WriteJSON(f, results)
}

// printResults prints the results, beside those of an earlier run if one is named.
func (o *options) printResults(results []*replay.Result) error {
	if o.baselineFile == "" {
		return replay.WriteTable(os.Stdout, results)
	}
	f, err := os.Open(o.baselineFile)
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

// readRecordedTrace adds the recorded trace to job if one is named.
func (o *options) readRecordedTrace(job *replay.Job) error {
	if o.recordedFile == "" {
		return nil
	}
	f, err := os.Open(o.recordedFile)
	if err != nil {
		return err
	}
	defer f.Close()
	job.Records, err = replay.ReadTrace(f)
	return err
}

// recordTrace writes the generated trace that job names to path. The job has to
// name one deployment and one trace.
func recordTrace(job replay.Job, path string) error {
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
