package table

import (
	"fmt"
	"math"
	"net/http"
	"sort"
	"strings"
	"unicode"
)

func (c *checker) routes(routes []Route, pools map[string]bool) {
	seen := map[string]bool{}
	matches := map[string]string{}
	for i, r := range routes {
		c.enter(RouteKeyPrefix, r.Name, i)
		c.name("name", r.Name, seen)
		c.match(r, matches)
		switch r.Class {
		case Interactive, Standard, Background:
		default:
			c.add("class", fmt.Sprintf("%q is not a class", r.Class), "use interactive, standard or background")
		}
		if r.Deadline <= 0 || r.Deadline > MaxDeadline {
			c.add("deadline", fmt.Sprintf("is %s", r.Deadline.Std()), fmt.Sprintf("give a duration such as 5s, at most %s", MaxDeadline.Std()))
		}
		if math.IsNaN(r.Worth) || math.IsInf(r.Worth, 0) || r.Worth <= 0 {
			c.add("worth", fmt.Sprintf("%g is not positive", r.Worth), "give the worth of one completed request, such as 1")
		}
		c.stages(r, pools)
		c.policy(r.Policy)
	}
}

func (c *checker) match(r Route, matches map[string]string) {
	if err := checkPath(r.Match.Path); err != nil {
		c.add("match.path", err.Error(), "give a path prefix such as /v1/drafts")
	}
	if m := r.Match.Method; m != "" && !methods[m] {
		c.add("match.method", fmt.Sprintf("%q is not a method", m), "use GET, HEAD, POST, PUT, PATCH or DELETE, or leave it out for any")
	}
	if n := len(r.Match.Headers); n > MaxMatchHeaders {
		c.add("match.headers", fmt.Sprintf("has %d headers", n), fmt.Sprintf("use at most %d", MaxMatchHeaders))
	}
	for name, value := range r.Match.Headers {
		if !isHeaderValue(value) {
			c.add("match.headers", fmt.Sprintf("no request carries %s: %q", name, value), "use visible characters and no space at the ends")
		}
		if name == "" || strings.ContainsAny(name, " :\t\r\n") {
			c.add("match.headers", fmt.Sprintf("%q is not a header name", name), "correct the name")
		}
	}
	key := matchKey(r.Match)
	if other, dup := matches[key]; dup {
		c.add("match", "is the same as that of routes/"+other, "make one of them narrower or remove it")
	}
	matches[key] = r.Name
}

// isHeaderValue reports whether HTTP can carry v as it is.
func isHeaderValue(v string) bool {
	return v == strings.TrimSpace(v) && !strings.ContainsFunc(v, unicode.IsControl)
}

var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

// matchKey is equal for two matches that select the same requests; header
// names that differ in case alone are the same.
func matchKey(m Match) string {
	headers := make([]string, 0, len(m.Headers))
	for k, v := range m.Headers {
		headers = append(headers, fmt.Sprintf("%s=%q", http.CanonicalHeaderKey(k), v))
	}
	sort.Strings(headers)
	return strings.Join(append([]string{m.Method, m.Path}, headers...), "\n")
}

func (c *checker) stages(r Route, pools map[string]bool) {
	if n := len(r.Stages); n == 0 || n > MaxStages {
		c.add("stages", fmt.Sprintf("has %d stages", n), fmt.Sprintf("list 1 to %d", MaxStages))
	}
	seen := map[string]bool{}
	sum := 0.0 // seconds; a sum of durations could overflow
	for i, s := range r.Stages {
		field := fmt.Sprintf("stages[%d]", i)
		c.name(field+".name", s.Name, seen)
		c.stage(field, s, i == len(r.Stages)-1, pools)
		sum += s.Budget.Std().Seconds()
	}
	if r.Deadline > 0 && sum > r.Deadline.Std().Seconds() {
		c.add("deadline", fmt.Sprintf("the stages' budgets add up to %gs, over the deadline %s", sum, r.Deadline.Std()), "raise the deadline or lower budgets")
	}
}

func (c *checker) stage(field string, s Stage, last bool, pools map[string]bool) {
	if !pools[s.Pool] {
		c.add(field+".pool", fmt.Sprintf("there is no pool %q", s.Pool), "add the pool or correct the name")
	}
	if s.Budget <= 0 || s.Budget > MaxDeadline {
		c.add(field+".budget", fmt.Sprintf("is %s", s.Budget.Std()), "give a duration such as 300ms")
	}
	if s.Stream && !last {
		c.add(field+".stream", "is set on a stage that is not the last", "stream only the last stage")
	}
	if s.Stream && !s.Repeatable {
		c.add(field+".stream", "is set on a stage that is not repeatable", "a resumed stream may run again; make the stage repeatable or whole")
	}
	if s.Path != "" {
		if err := checkPath(s.Path); err != nil {
			c.add(field+".path", err.Error(), "give a path such as /generate, or leave it out for /")
		}
	}
	c.amount(field+".cost", s.Cost, math.MaxFloat32)
}
