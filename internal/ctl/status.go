package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bilberrydale/internal/settings"
	"bilberrydale/process/release"
)

// HostStatus is the status of one entry host. Its fields are a selection of
// those in the entry host's own status document.
type HostStatus struct {
	Address   string `json:"address"` // admin address
	Build     string `json:"build"`
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Region    string `json:"region"`
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"draining"`
	Active    int64  `json:"active"`  // requests in flight
	Release   uint64 `json:"release"` // number of the release in force; 0: none
	Hash      string `json:"hash"`
	LastError string `json:"last_error,omitempty"`
	// Releases is the state of the host's release distribution.
	Releases *release.Status `json:"releases,omitempty"`
	Error    string          `json:"fault,omitempty"` // why the status is missing or incomplete; empty if it is complete
}

// problems joins the errors that concern the host, without duplicates.
func (s *HostStatus) problems() string {
	var list []string
	add := func(text string) {
		if text != "" && !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	add(s.Error)
	add(s.LastError)
	if s.Releases != nil {
		for _, f := range s.Releases.Faults {
			add(f)
		}
	}
	return strings.Join(list, "; ")
}

// hostCommands returns the commands on running entry hosts.
func hostCommands() []*command {
	drain, status := &drainCommand{}, &statusCommand{}
	return []*command{
		{name: "status", help: "show the release that each entry host has in force; fails if they differ", registerFlags: status.registerFlags, run: status.run},
		{name: "peers", help: "show the state of all entry hosts as seen by each of them", run: listPeers},
		{name: "drain", help: "take entry hosts out of service: they refuse new requests and finish those in flight", registerFlags: drain.registerFlags, run: drain.run},
	}
}

// hostStatuses returns the status of all entry hosts. Hosts that don't respond have
// HostStatus.Error set; the error is that of missing addresses.
func (e *Env) hostStatuses(ctx context.Context) ([]HostStatus, error) {
	if len(e.Admin.opts.Addresses) == 0 {
		return nil, errors.New("name the entry hosts with --hosts")
	}
	var out []HostStatus
	for _, result := range callEach(ctx, e.Admin, func(ctx context.Context, addr string) (HostStatus, error) {
		var s HostStatus
		if err := e.Admin.call(ctx, http.MethodGet, addr, "/status", nil, &s); err != nil {
			return s, err
		}
		err := e.Admin.call(ctx, http.MethodGet, addr, "/release", nil, &s.Releases)
		return s, err
	}) {
		result.value.Address = result.addr
		if result.err != nil {
			result.value.Error = result.err.Error()
		}
		out = append(out, result.value)
	}
	return out, nil
}

// statusCommand shows the status of all entry hosts, after waiting for at most wait
// until they have the same release in force.
type statusCommand struct{ wait time.Duration }

func (c *statusCommand) registerFlags(set *settings.Set) {
	set.Duration(&c.wait, "wait", "longest wait until all hosts have the same release in force", 0, 10*time.Minute)
}

// statusPollInterval is the interval at which the status is read while the hosts
// have different releases in force.
const statusPollInterval = 200 * time.Millisecond

// run shows the status and returns the error of checkAgreement.
func (c *statusCommand) run(ctx context.Context, env *Env, _ string) error {
	deadline := time.Now().Add(c.wait)
	for {
		list, err := env.hostStatuses(ctx)
		if err != nil {
			return err
		}
		disagreement := checkAgreement(list)
		if disagreement == nil || !time.Now().Before(deadline) {
			return errors.Join(printStatus(env, list), disagreement)
		}
		select {
		case <-ctx.Done():
			return errors.Join(printStatus(env, list), disagreement)
		case <-time.After(statusPollInterval):
		}
	}
}

// printStatus prints one row for each host.
func printStatus(env *Env, list []HostStatus) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{
			s.Address, s.Name, s.Build, s.Domain, strconv.FormatUint(s.Release, 10), s.Hash,
			strconv.FormatBool(s.Ready), strconv.FormatBool(s.Draining), strconv.FormatInt(s.Active, 10), s.problems(),
		})
	}
	header := []string{"ADDRESS", "NAME", "BUILD", "DOMAIN", "RELEASE", "HASH", "READY", "DRAINING", "ACTIVE", "FAULTS"}
	return env.print(list, header, rows)
}

// checkAgreement returns an error unless all hosts respond and have the same release
// in force.
func checkAgreement(list []HostStatus) error {
	unresponsive, withoutRelease := 0, 0
	releases := map[string]bool{}
	for _, s := range list {
		if s.Error != "" {
			unresponsive++
			continue
		}
		if s.Release == 0 {
			withoutRelease++
		}
		releases[fmt.Sprint(s.Release, " ", s.Hash)] = true
	}
	switch {
	case withoutRelease > 0:
		return fmt.Errorf("%d of %d entry hosts have no release in force", withoutRelease, len(list))
	case len(releases) > 1:
		return fmt.Errorf("the entry hosts have %d different releases in force", len(releases))
	case unresponsive > 0:
		return fmt.Errorf("%d of %d entry hosts do not respond", unresponsive, len(list))
	}
	return nil
}

// drainCommand starts the drain of entry hosts and does not wait for its end.
type drainCommand struct{ all bool }

func (c *drainCommand) registerFlags(set *settings.Set) {
	set.Bool(&c.all, "all", "drain all entry hosts of --hosts, even if there are several")
}

func (c *drainCommand) run(ctx context.Context, env *Env, _ string) error {
	hosts := env.Admin.opts.Addresses
	if len(hosts) == 0 {
		return errors.New("name the entry host with --hosts")
	}
	if len(hosts) > 1 && !c.all {
		return fmt.Errorf("--hosts names %d entry hosts; name one, or add --all", len(hosts))
	}
	var errs []error
	for _, result := range callEach(ctx, env.Admin, func(ctx context.Context, addr string) (struct{}, error) {
		return struct{}{}, env.Admin.call(ctx, http.MethodPost, addr, "/drain", nil, nil)
	}) {
		if result.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", result.addr, result.err))
			continue
		}
		env.printLine("%s is draining", result.addr)
	}
	return errors.Join(errs...)
}
