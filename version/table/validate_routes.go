package table

import (
	"fmt"
	"math"
	"net/http"
	"sort"
	"strings"
	"unicode"
)

// checkRoutes checks all routes; pools is the set of the pools' names.
func (v *validator) checkRoutes(routes []Route, pools map[string]bool) {
	seen := map[string]bool{}
	routeByMatch := map[string]string{}
	for i, r := range routes {
		v.startRow(RouteKeyPrefix, r.Name, i)
		v.checkName("name", r.Name, seen)
		v.checkMatch(r, routeByMatch)
		switch r.Class {
		case Interactive, Standard, Background:
		default:
			v.addError("class", fmt.Sprintf("%q is not a class", r.Class), "use interactive, standard or background")
		}
		if r.Deadline <= 0 || r.Deadline > MaxDeadline {
			v.addError("deadline", fmt.Sprintf("is %s", r.Deadline.Std()), fmt.Sprintf("give a duration such as 5s, at most %s", MaxDeadline.Std()))
		}
		if math.IsNaN(r.Worth) || math.IsInf(r.Worth, 0) || r.Worth <= 0 {
			v.addError("worth", fmt.Sprintf("%g is not positive", r.Worth), "give the worth of one completed request, such as 1")
		}
		v.checkStages(r, pools)
		v.checkPolicy(r.Policy)
	}
}

// checkMatch checks the match of r, and that no route in routeByMatch has the same match. The
// keys of routeByMatch are those of matchKey.
func (v *validator) checkMatch(r Route, routeByMatch map[string]string) {
	if err := checkPath(r.Match.Path); err != nil {
		v.addError("match.path", err.Error(), "give a path prefix such as /v1/drafts")
	}
	if m := r.Match.Method; m != "" && !allowedMethods[m] {
		v.addError("match.method", fmt.Sprintf("%q is not a supported method", m), "use GET, HEAD, POST, PUT, PATCH or DELETE, or leave it out for any")
	}
	if n := len(r.Match.Headers); n > MaxMatchHeaders {
		v.addError("match.headers", fmt.Sprintf("has %d headers", n), fmt.Sprintf("use at most %d", MaxMatchHeaders))
	}
	for name, value := range r.Match.Headers {
		if !isValidHeaderValue(value) {
			v.addError("match.headers", fmt.Sprintf("no request can have the header %s: %q", name, value), "use visible characters without leading or trailing white space")
		}
		if name == "" || strings.ContainsAny(name, " :\t\r\n") {
			v.addError("match.headers", fmt.Sprintf("%q is not a valid header name", name), "correct the name")
		}
	}
	key := matchKey(r.Match)
	if other, duplicate := routeByMatch[key]; duplicate {
		v.addError("match", "is the same as that of routes/"+other, "make one of them narrower or remove it")
	}
	routeByMatch[key] = r.Name
}

// isValidHeaderValue reports whether value can be sent unchanged as the value of an HTTP header.
func isValidHeaderValue(value string) bool {
	return value == strings.TrimSpace(value) && !strings.ContainsFunc(value, unicode.IsControl)
}

// allowedMethods are the methods that a match can have.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

// matchKey returns a key that is equal for matches that select the same requests. The case of
// header names is insignificant.
func matchKey(m Match) string {
	headers := make([]string, 0, len(m.Headers))
	for name, value := range m.Headers {
		headers = append(headers, fmt.Sprintf("%s=%q", http.CanonicalHeaderKey(name), value))
	}
	sort.Strings(headers)
	return strings.Join(append([]string{m.Method, m.Path}, headers...), "\n")
}

// checkStages checks the stages of r, and that their budgets fit into its deadline.
func (v *validator) checkStages(r Route, pools map[string]bool) {
	if n := len(r.Stages); n == 0 || n > MaxStages {
		v.addError("stages", fmt.Sprintf("has %d stages", n), fmt.Sprintf("list 1 to %d", MaxStages))
	}
	seen := map[string]bool{}
	sum := 0.0 // of budgets, in seconds; a sum of type Duration could overflow
	for i, s := range r.Stages {
		field := fmt.Sprintf("stages[%d]", i)
		v.checkName(field+".name", s.Name, seen)
		v.checkStage(field, s, i == len(r.Stages)-1, pools)
		sum += s.Budget.Std().Seconds()
	}
	if r.Deadline > 0 && sum > r.Deadline.Std().Seconds() {
		v.addError("deadline", fmt.Sprintf("the budgets of the stages add up to %gs, which exceeds the deadline %s", sum, r.Deadline.Std()), "raise the deadline or lower budgets")
	}
}

// checkStage checks a stage other than its name; last reports whether it is the route's last.
func (v *validator) checkStage(field string, s Stage, last bool, pools map[string]bool) {
	if !pools[s.Pool] {
		v.addError(field+".pool", fmt.Sprintf("there is no pool %q", s.Pool), "add the pool or correct the name")
	}
	if s.Budget <= 0 || s.Budget > MaxDeadline {
		v.addError(field+".budget", fmt.Sprintf("is %s", s.Budget.Std()), "give a duration such as 300ms")
	}
	if s.Stream && !last {
		v.addError(field+".stream", "is set on a stage that is not the last", "stream only the last stage")
	}
	if s.Stream && !s.Repeatable {
		v.addError(field+".stream", "is set on a stage that is not repeatable", "a resumed stream may run again; make the stage repeatable or do not stream it")
	}
	if s.Path != "" {
		if err := checkPath(s.Path); err != nil {
			v.addError(field+".path", err.Error(), "give a path such as /generate, or leave it out for /")
		}
	}
	v.checkRange(field+".cost", s.Cost, math.MaxFloat32)
}
