package plancheck

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/version/plan"
)

// sound returns a configuration without findings.
func sound() plan.Config {
	return plan.Config{
		Version: 7,
		Routes: []plan.Route{
			{Name: "drafts", Host: "api.example", PathPrefix: "/drafts/", Kind: plan.Stream, Resumable: true, MaxAttempts: 2, Timeout: 10 * time.Second, TargetLatency: 2 * time.Second, MaxEventGap: time.Second, Targets: []plan.Target{{Service: "model", Weight: 1}}, Stages: []plan.Stage{{Service: "encoder", ResultBytes: 100}, {Service: "encoder", DependsOn: []int{0}, ResultBytes: 100}}},
			{Name: "status", Host: "api.example", PathPrefix: "/", Kind: plan.Safe, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 200 * time.Millisecond, Targets: []plan.Target{{Service: "ledger", Weight: 1}}, Regions: []string{"north"}},
		},
		Services: []plan.Service{
			{Name: "model", Engine: &plan.Engine{Slots: 8}},
			{Name: "ledger"},
			{Name: "encoder", Batch: &plan.Batch{ConcurrentCalls: 1, MaxItemsPerCall: 4, TimePerCall: 200 * time.Millisecond, TimePerItem: 50 * time.Millisecond, ResultMemoryBytes: 1000, ResultTTL: 4 * time.Second}},
		},
		Accounts: []plan.Account{{Name: "mill", Keys: []string{"k1", "k2"}, Regions: []string{"north", "south"}}},
		Limits:   plan.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second},
	}
}

// Guards against findings for a configuration without faults, and against faults without a finding.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Check(sound())).To(BeEmpty())
	for want, spoil := range map[string]func(c *plan.Config){
		"error: configuration: version 0 is not over 0":                                                   func(c *plan.Config) { c.Version = 0 },
		"error: route drafts: is defined twice":                                                           func(c *plan.Config) { c.Routes[1].Name = "drafts" },
		"error: route status: no request matches it: it has no host":                                      func(c *plan.Config) { c.Routes[1].Host = "" },
		`error: route status: path prefix "/a" does not begin and end with a slash`:                       func(c *plan.Config) { c.Routes[1].PathPrefix = "/a" },
		"error: route status: no request matches it: route drafts has the same host and path prefix":      func(c *plan.Config) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/drafts/", "API.example" },
		`error: route status: service "leger" is not defined`:                                             func(c *plan.Config) { c.Routes[1].Targets[0].Service = "leger" },
		`error: route status: service "encoder" runs stages, not requests`:                                func(c *plan.Config) { c.Routes[1].Targets[0].Service = "encoder" },
		"error: route status: no service has a weight over 0":                                             func(c *plan.Config) { c.Routes[1].Targets[0].Weight = 0 },
		`error: route status: weight -1 of service "ledger" is negative`:                                  func(c *plan.Config) { c.Routes[1].Targets[0].Weight = -1 },
		"error: route status: target latency 2s is longer than the timeout 1s":                            func(c *plan.Config) { c.Routes[1].TargetLatency = 2 * time.Second },
		"error: route drafts: longest gap between events 11s is longer than the timeout 10s":              func(c *plan.Config) { c.Routes[0].MaxEventGap = 11 * time.Second },
		"warning: route status: only streams can be resumed or have a longest gap between events":         func(c *plan.Config) { c.Routes[1].Resumable = true },
		"warning: route status: 2 attempts are allowed, but its requests may not run twice":               func(c *plan.Config) { c.Routes[1].Kind = plan.Unsafe },
		`error: route drafts: stage 0: service "ledger" is not defined, or runs no stages`:                func(c *plan.Config) { c.Routes[0].Stages[0].Service = "ledger" },
		"error: route drafts: stage 1: a result of 1001 bytes exceeds the room of 1000 bytes at a server": func(c *plan.Config) { c.Routes[0].Stages[1].ResultBytes = 1001 },
		"error: route drafts: its stages take 10.4s in full calls, longer than the timeout 10s": func(c *plan.Config) {
			c.Services[2].Batch.TimePerCall, c.Services[2].Batch.ResultTTL = 5*time.Second, 9*time.Second
		},
		"warning: route drafts: its stages take 4.4s in full calls, longer than the target latency 2s": func(c *plan.Config) { c.Services[2].Batch.TimePerCall = 2 * time.Second },
		"warning: service spare: no route uses it":                                                     func(c *plan.Config) { c.Services = append(c.Services, plan.Service{Name: "spare"}) },
		"error: service ledger: is defined twice":                                                      func(c *plan.Config) { c.Services = append(c.Services, plan.Service{Name: "ledger"}) },
		"error: service encoder: keeps results for 300ms, shorter than a full call of 400ms":           func(c *plan.Config) { c.Services[2].Batch.ResultTTL = 300 * time.Millisecond },
		"warning: service model: limits requests to cold servers, but no server is ever cold":          func(c *plan.Config) { c.Services[0].ColdStart.RequestsPerSecond = 3 },
		"warning: account mill: no request matches it: it has no API key":                              func(c *plan.Config) { c.Accounts[0].Keys = nil },
		"warning: accounts: the list is empty: only requests of public routes are accepted":            func(c *plan.Config) { c.Accounts = []plan.Account{} },
		"error: account other: account mill has one of its API keys": func(c *plan.Config) {
			c.Accounts = append(c.Accounts, plan.Account{Name: "other", Keys: []string{"k2"}})
		},
		"error: account mill: is defined twice": func(c *plan.Config) {
			c.Accounts = append(c.Accounts, plan.Account{Name: "mill", Keys: []string{"k3"}})
		},
		"warning: account mill: route status allows none of its regions":                          func(c *plan.Config) { c.Accounts[0].Regions = []string{"south"} },
		"error: limits: a limit is negative":                                                      func(c *plan.Config) { c.Limits.MaxBodyBytes = -1 },
		"warning: limits: headers of 65537 bytes are allowed, but entry hosts take 65536 at most": func(c *plan.Config) { c.Limits.MaxHeaderBytes = plan.MaxHeaderBytes + 1 },
		"warning: limits: the header timeout 11s is longer than the idle timeout 10s":             func(c *plan.Config) { c.Limits.HeaderTimeout = 11 * time.Second },
	} {
		c := sound()
		spoil(&c)
		var got []string
		for _, f := range Check(c) {
			got = append(got, f.String())
		}
		g.Expect(got).To(ContainElement(want))
	}
}

// Guards against a difference that is not told, and against API keys in the output.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Diff(sound(), sound())).To(BeEmpty())
	c := sound()
	c.Version = 8
	c.Routes[0].Timeout = 8 * time.Second
	c.Routes = append(c.Routes[:1], plan.Route{Name: "tags"})
	c.Services[2].Batch = nil
	c.Accounts[0].Keys = []string{"secret"}
	c.Limits.IdleTimeout = time.Minute
	var got []string
	for _, change := range Diff(sound(), c) {
		got = append(got, change.String())
	}
	g.Expect(got).To(HaveLen(6))
	g.Expect(got).To(ContainElements(
		"account mill: Keys: 1 API keys, was 2 API keys",
		"limits: IdleTimeout: 1m0s, was 10s",
		"route drafts: Timeout: 8s, was 10s",
		"route status: removed: old entry",
		"route tags: added: new entry",
		ContainSubstring("service encoder: Batch: none, was {ConcurrentCalls:1"),
	))
}

// Guards against a change that lets all requests in without a word.
func TestDiffTellsWhetherKeysAreRequired(t *testing.T) {
	g := NewWithT(t)
	empty, missing := sound(), sound()
	empty.Accounts, missing.Accounts = []plan.Account{}, nil
	g.Expect(Diff(empty, missing)).To(Equal([]Change{{Place: "accounts", Old: "requests need an API key", New: "requests need no API key"}}))
	g.Expect(Diff(sound(), empty)).To(Equal([]Change{{Place: "account mill", Old: "old entry"}}))
}
