// Package plancheck checks a configuration before operators put it in force: errors, entries that no
// request can match, limits that contradict each other, and what differs from another configuration.
package plancheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberrydale/version/plan"
)

// Severity tells what a finding means for requests.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"   // requests fail, or the entry has no meaning
	Warning Severity = "warning" // the entry has no effect, or not the one that it seems to have
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	Place    string // the entry, such as "route drafts"
	Problem  string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Problem) }

// checker collects the findings of one configuration.
type checker struct {
	config   plan.Config
	services map[string]*plan.Service
	findings []Finding
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(c plan.Config) []Finding {
	k := &checker{config: c, services: map[string]*plan.Service{}}
	if c.Version <= 0 {
		k.addError("configuration", "version %d is not over 0", c.Version)
	}
	k.checkServices()
	k.checkRoutes()
	k.checkAccounts()
	k.checkLimits()
	return k.findings
}

func (k *checker) addError(place, format string, args ...any) {
	k.findings = append(k.findings, Finding{Error, place, fmt.Sprintf(format, args...)})
}

func (k *checker) addWarning(place, format string, args ...any) {
	k.findings = append(k.findings, Finding{Warning, place, fmt.Sprintf(format, args...)})
}

// checkServices checks the services and collects them by name.
func (k *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range k.config.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
		for _, s := range r.Stages {
			used[s.Service] = true
		}
	}
	for i := range k.config.Services {
		s := &k.config.Services[i]
		place := "service " + s.Name
		if k.services[s.Name] != nil {
			k.addError(place, "is defined twice")
		}
		k.services[s.Name] = s
		if !used[s.Name] {
			k.addWarning(place, "no route uses it")
		}
		if s.ColdStart.RequestsPerSecond > 0 && s.ColdStart.ColdDuration <= 0 {
			k.addWarning(place, "limits requests to cold servers, but no server is ever cold")
		}
		if b := s.Batch; b != nil && b.ResultTTL > 0 && b.ResultTTL < fullCallTime(b) {
			k.addError(place, "keeps results for %s, shorter than a full call of %s", b.ResultTTL, fullCallTime(b))
		}
	}
}

// fullCallTime returns the duration of a call with the maximum number of items.
func fullCallTime(b *plan.Batch) time.Duration {
	return b.TimePerCall + time.Duration(b.MaxItemsPerCall)*b.TimePerItem
}

// checkRoutes checks the routes.
func (k *checker) checkRoutes() {
	names, matches := map[string]bool{}, map[string]string{}
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		place := "route " + r.Name
		if names[r.Name] {
			k.addError(place, "is defined twice")
		}
		names[r.Name] = true
		if r.Host == "" {
			k.addError(place, "no request matches it: it has no host")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			k.addError(place, "path prefix %q does not begin and end with a slash", r.PathPrefix)
		}
		match := strings.ToLower(r.Host) + r.PathPrefix
		if first, taken := matches[match]; taken {
			k.addError(place, "no request matches it: route %s has the same host and path prefix", first)
		} else {
			matches[match] = r.Name
		}
		k.checkTargets(place, r)
		k.checkTimes(place, r)
		k.checkStages(place, r)
	}
}

// checkTargets checks the services that run a route's requests.
func (k *checker) checkTargets(place string, r *plan.Route) {
	total := 0.0
	for _, t := range r.Targets {
		s := k.services[t.Service]
		switch {
		case s == nil:
			k.addError(place, "service %q is not defined", t.Service)
		case s.Batch != nil:
			k.addError(place, "service %q runs stages, not requests", t.Service)
		}
		if t.Weight < 0 {
			k.addError(place, "weight %g of service %q is negative", t.Weight, t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		k.addError(place, "no service has a weight over 0")
	}
}

// checkTimes checks the times of a route, and how often its requests may be sent.
func (k *checker) checkTimes(place string, r *plan.Route) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		k.addError(place, "target latency %s is longer than the timeout %s", r.TargetLatency, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		k.addError(place, "longest gap between events %s is longer than the timeout %s", r.MaxEventGap, r.Timeout)
	}
	if r.Kind != plan.Stream && (r.Resumable || r.MaxEventGap > 0) {
		k.addWarning(place, "only streams can be resumed or have a longest gap between events")
	}
	mayRepeat := r.Kind == plan.Safe || r.Kind == plan.Stream && r.Resumable
	if r.MaxAttempts > 1 && !mayRepeat {
		k.addWarning(place, "%d attempts are allowed, but its requests may not run twice", r.MaxAttempts)
	}
}

// checkStages checks the stages of a route.
func (k *checker) checkStages(place string, r *plan.Route) {
	ends := make([]time.Duration, len(r.Stages))
	var longest time.Duration
	for i, s := range r.Stages {
		service := k.services[s.Service]
		if service == nil || service.Batch == nil {
			k.addError(place, "stage %d: service %q is not defined, or runs no stages", i, s.Service)
			continue
		}
		if room := service.Batch.ResultMemoryBytes; room > 0 && s.ResultBytes > room {
			k.addError(place, "stage %d: a result of %d bytes exceeds the room of %d bytes at a server", i, s.ResultBytes, room)
		}
		for _, dependency := range s.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += fullCallTime(service.Batch)
		longest = max(longest, ends[i])
	}
	switch {
	case r.Timeout > 0 && longest > r.Timeout:
		k.addError(place, "its stages take %s in full calls, longer than the timeout %s", longest, r.Timeout)
	case r.TargetLatency > 0 && longest > r.TargetLatency:
		k.addWarning(place, "its stages take %s in full calls, longer than the target latency %s", longest, r.TargetLatency)
	}
}

// checkAccounts checks the client accounts.
func (k *checker) checkAccounts() {
	if k.config.Accounts != nil && len(k.config.Accounts) == 0 {
		k.addWarning("accounts", "the list is empty: only requests of public routes are accepted")
	}
	names, holders := map[string]bool{}, map[string]string{}
	for _, a := range k.config.Accounts {
		place := "account " + a.Name
		if names[a.Name] {
			k.addError(place, "is defined twice")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			k.addWarning(place, "no request matches it: it has no API key")
		}
		for _, key := range a.Keys {
			if first, taken := holders[key]; taken && first != a.Name {
				k.addError(place, "account %s has one of its API keys", first)
			}
			holders[key] = a.Name
		}
		k.checkRegions(place, a)
	}
}

// checkRegions reports routes that an account can never use.
func (k *checker) checkRegions(place string, a plan.Account) {
	for _, r := range k.config.Routes {
		if len(a.Regions) == 0 || len(r.Regions) == 0 {
			continue
		}
		if !slices.ContainsFunc(a.Regions, func(region string) bool { return slices.Contains(r.Regions, region) }) {
			k.addWarning(place, "route %s allows none of its regions", r.Name)
		}
	}
}

// checkLimits checks the limits of what clients may send.
func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.addError("limits", "a limit is negative")
	}
	if l.MaxHeaderBytes > plan.MaxHeaderBytes {
		k.addWarning("limits", "headers of %d bytes are allowed, but entry hosts take %d at most", l.MaxHeaderBytes, plan.MaxHeaderBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.addWarning("limits", "the header timeout %s is longer than the idle timeout %s", l.HeaderTimeout, l.IdleTimeout)
	}
}
