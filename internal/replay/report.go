package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Job names the replays of one table.
type Job struct {
	Seed        uint64
	Deployments []*Deployment
	Scenario    string // one scenario; empty: all
	Policies    []Policy
	Concurrency int
	// Records, if set, are replayed in place of generated ones: a recorded
	// trace of the one deployment and scenario that the job names.
	Records []Record
}

// Run replays every scenario under every policy and returns the results in a
// fixed order.
func Run(j Job) ([]*Result, error) {
	type unit struct {
		d       *Deployment
		s       Scenario
		records []Record
	}
	var units []unit
	for _, d := range j.Deployments {
		for _, s := range Scenarios(d) {
			if j.Scenario == "" || j.Scenario == s.Name {
				u := unit{d: d, s: s}
				if s.EqualShares {
					u.d = d.equalShares()
				}
				units = append(units, u)
			}
		}
	}
	if len(units) == 0 {
		return nil, fmt.Errorf("there is no scenario %q", j.Scenario)
	}
	if j.Records != nil && len(units) != 1 {
		return nil, fmt.Errorf("a recorded trace needs one deployment and one scenario, not %d", len(units))
	}
	n := len(j.Policies)
	out := make([]*Result, len(units)*n)
	g := errgroup.Group{}
	g.SetLimit(max(1, j.Concurrency))
	for i, u := range units {
		g.Go(func() error {
			u.records = j.Records
			if u.records == nil {
				u.records = GenerateTrace(u.d, u.s, j.Seed)
			}
			if err := check(u.d, u.records); err != nil {
				return err
			}
			bound := UpperBound(u.d, u.s, u.records)
			fluid := UpperBound(u.d, u.s, WithMeanServiceTimes(u.d, u.records))
			for k, p := range j.Policies {
				res := Replay(u.d, u.s, u.records, p, j.Seed)
				res.Seed, res.BoundRatio, res.FluidBoundRatio = j.Seed, res.Worth/bound, res.Worth/fluid
				out[i*n+k] = res
			}
			return nil
		})
	}
	return out, g.Wait()
}

// check reports a record that does not fit the deployment.
func check(d *Deployment, records []Record) error {
	for i := range records {
		r := &records[i]
		rt := d.route(r.Route)
		switch {
		case rt == nil:
			return fmt.Errorf("record %d: %s has no route %q", i+1, d.Name, r.Route)
		case !slices.Contains(d.Regions, r.Region):
			return fmt.Errorf("record %d: %s has no region %q", i+1, d.Name, r.Region)
		case len(r.Work) != len(rt.Stages) || len(r.Bytes) != len(rt.Stages)+1:
			return fmt.Errorf("record %d: route %s has %d stages", i+1, r.Route, len(rt.Stages))
		}
	}
	return nil
}

// WriteTable prints results for people.
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

// ReadPrevious reads results that an earlier commit wrote as JSON and names
// their newest policy "previous"; the baselines in them are left out.
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

// Interleave puts each earlier result before the present one of its trace.
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
