package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Job selects the replays of one table of results.
type Job struct {
	Seed        uint64
	Deployments []*Deployment
	Scenario    string // name of the only scenario; empty: all
	Policies    []Policy
	Concurrency int // replays at once; below 1: one
	// Records, if set, are a recorded trace that is replayed instead of a generated
	// one. The job then has to select one deployment and one scenario, whose faults
	// apply.
	Records []Record
}

// Run replays every selected scenario under every policy and returns the results in
// the order of deployments, scenarios and policies. It returns an error if the job
// selects no scenario, or several for its records, or if the records don't match the
// deployment.
func Run(j Job) ([]*Result, error) {
	type traceReplay struct {
		d       *Deployment
		s       Scenario
		records []Record
	}
	var replays []traceReplay
	for _, d := range j.Deployments {
		for _, s := range Scenarios(d) {
			if j.Scenario == "" || j.Scenario == s.Name {
				r := traceReplay{d: d, s: s}
				if s.EqualAccountWeights {
					r.d = d.withEqualAccountWeights()
				}
				replays = append(replays, r)
			}
		}
	}
	if len(replays) == 0 {
		return nil, fmt.Errorf("no deployment has a scenario %q", j.Scenario)
	}
	if j.Records != nil && len(replays) != 1 {
		return nil, fmt.Errorf("a recorded trace needs one deployment and one scenario, but the job selects %d combinations", len(replays))
	}
	n := len(j.Policies)
	out := make([]*Result, len(replays)*n)
	g := errgroup.Group{}
	g.SetLimit(max(1, j.Concurrency))
	for i, r := range replays {
		g.Go(func() error {
			r.records = j.Records
			if r.records == nil {
				r.records = GenerateTrace(r.d, r.s, j.Seed)
			}
			if err := validateRecords(r.d, r.records); err != nil {
				return err
			}
			bound := UpperBound(r.d, r.s, r.records)
			fluid := UpperBound(r.d, r.s, WithMeanServiceTimes(r.d, r.records))
			for k, p := range j.Policies {
				res := Replay(r.d, r.s, r.records, p, j.Seed)
				res.Seed, res.BoundRatio, res.FluidBoundRatio = j.Seed, res.Worth/bound, res.Worth/fluid
				out[i*n+k] = res
			}
			return nil
		})
	}
	return out, g.Wait()
}

// validateRecords returns an error for the first record that doesn't match the
// deployment.
func validateRecords(d *Deployment, records []Record) error {
	for i := range records {
		r := &records[i]
		rt := d.findRoute(r.Route)
		switch {
		case rt == nil:
			return fmt.Errorf("record %d: deployment %s has no route %q", i+1, d.Name, r.Route)
		case !slices.Contains(d.Regions, r.Region):
			return fmt.Errorf("record %d: deployment %s has no region %q", i+1, d.Name, r.Region)
		case len(r.Work) != len(rt.Stages) || len(r.Bytes) != len(rt.Stages)+1:
			return fmt.Errorf("record %d: route %s has %d stages, but the lengths of work and bytes don't match", i+1, r.Route, len(rt.Stages))
		}
	}
	return nil
}

// WriteTable writes results as a table of aligned text.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\ttrace\tpolicy\toffered\trefused\tworth\tof bound\tof fluid\tinteractive\tstandard\tbackground\tcost\twasted\tin\tcross MB\tworst share\tof served\tback\tserved\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%s\t%.1f\t%.2f\t%.2f\t%d\t%.2f\t\n",
			r.Deployment, r.Scenario, r.Policy, r.Offered, r.Refused, r.Worth, r.BoundRatio, r.FluidBoundRatio, r.Interactive, r.Standard, r.Background,
			r.Cost, r.WastedFraction, r.WastedStage, float64(r.CrossRegionBytes)/(1<<20), r.WorstShareRatio, r.WorstServedRatio, r.ClientRetries, r.ClientRetrySuccess)
	}
	return t.Flush()
}

// WriteJSON writes results as one JSON document.
func WriteJSON(w io.Writer, results []*Result) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(results)
}

// ReadPrevious reads results that an earlier commit wrote as JSON. It returns those
// of the current policy, renamed to "previous", and omits the other policies.
func ReadPrevious(r io.Reader) ([]*Result, error) {
	var all, out []*Result
	if err := json.NewDecoder(r).Decode(&all); err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	for _, x := range all {
		if x.Policy == Current().Name {
			x.Policy = "previous"
			out = append(out, x)
		}
	}
	return out, nil
}

// InterleavePrevious returns results with each previous result inserted before
// that of the current policy for the same deployment, scenario and seed.
func InterleavePrevious(results, previous []*Result) []*Result {
	var out []*Result
	for _, r := range results {
		if r.Policy == Current().Name {
			for _, p := range previous {
				if p.Deployment == r.Deployment && p.Scenario == r.Scenario && p.Seed == r.Seed {
					out = append(out, p)
				}
			}
		}
		out = append(out, r)
	}
	return out
}
