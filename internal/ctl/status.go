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

// HostStatus is one entry host's answer to status. It reads the fields that
// operators need from the entry host's own status document.
type HostStatus struct {
	Address   string `json:"address"`
	Build     string `json:"build"`
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Region    string `json:"region"`
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"draining"`
	Active    int64  `json:"active"`
	Release   uint64 `json:"release"`
	Hash      string `json:"hash"`
	LastError string `json:"last_error,omitempty"`
	// Releases is how releases reach this host.
	Releases *release.Status `json:"releases,omitempty"`
	Error    string          `json:"fault,omitempty"` // why there is no answer
}

// faults lists what is wrong with the host, each thing once.
func (s *HostStatus) faults() string {
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

func hostCommands() []*command {
	drain, status := &drainCommand{}, &statusCommand{}
	return []*command{
		{name: "status", help: "show which entry host has which release in force; fails when they differ", flags: status.flags, run: status.run},
		{name: "peers", help: "show what each entry host believes of the others", run: peers},
		{name: "drain", help: "take entry hosts out of service: no new requests, those in flight finish", flags: drain.flags, run: drain.run},
	}
}

func (e *Env) statuses(ctx context.Context) ([]HostStatus, error) {
	if len(e.Admin.opts.Addresses) == 0 {
		return nil, errors.New("name the entry hosts with --hosts")
	}
	var out []HostStatus
	for _, a := range each(ctx, e.Admin, func(ctx context.Context, addr string) (HostStatus, error) {
		var s HostStatus
		if err := e.Admin.call(ctx, http.MethodGet, addr, "/status", nil, &s); err != nil {
			return s, err
		}
		err := e.Admin.call(ctx, http.MethodGet, addr, "/release", nil, &s.Releases)
		return s, err
	}) {
		a.value.Address = a.addr
		if a.err != nil {
			a.value.Error = a.err.Error()
		}
		out = append(out, a.value)
	}
	return out, nil
}

type statusCommand struct{ wait time.Duration }

func (c *statusCommand) flags(set *settings.Set) {
	set.Duration(&c.wait, "wait", "longest wait for the hosts to agree on one release", 0, 10*time.Minute)
}

// pollEvery is the pause between two looks at hosts that do not agree yet.
const pollEvery = 200 * time.Millisecond

func (c *statusCommand) run(ctx context.Context, env *Env, _ string) error {
	giveUp := time.Now().Add(c.wait)
	for {
		list, err := env.statuses(ctx)
		if err != nil {
			return err
		}
		differ := disagreement(list)
		if differ == nil || !time.Now().Before(giveUp) {
			return errors.Join(printStatus(env, list), differ)
		}
		select {
		case <-ctx.Done():
			return errors.Join(printStatus(env, list), differ)
		case <-time.After(pollEvery):
		}
	}
}

func printStatus(env *Env, list []HostStatus) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{
			s.Address, s.Name, s.Build, s.Domain, strconv.FormatUint(s.Release, 10), s.Hash,
			strconv.FormatBool(s.Ready), strconv.FormatBool(s.Draining), strconv.FormatInt(s.Active, 10), s.faults(),
		})
	}
	header := []string{"ADDRESS", "NAME", "BUILD", "DOMAIN", "RELEASE", "HASH", "READY", "DRAINING", "ACTIVE", "FAULTS"}
	return env.print(list, header, rows)
}

// disagreement tells whether a release is not in force everywhere.
func disagreement(list []HostStatus) error {
	silent, without := 0, 0
	releases := map[string]bool{}
	for _, s := range list {
		if s.Error != "" {
			silent++
			continue
		}
		if s.Release == 0 {
			without++
		}
		releases[fmt.Sprint(s.Release, " ", s.Hash)] = true
	}
	switch {
	case without > 0:
		return fmt.Errorf("%d of %d entry hosts have no release in force", without, len(list))
	case len(releases) > 1:
		return fmt.Errorf("the entry hosts have %d different releases in force", len(releases))
	case silent > 0:
		return fmt.Errorf("%d of %d entry hosts do not answer", silent, len(list))
	}
	return nil
}

type drainCommand struct{ all bool }

func (c *drainCommand) flags(set *settings.Set) {
	set.Bool(&c.all, "all", "drain every entry host in --hosts, even if there are several")
}

func (c *drainCommand) run(ctx context.Context, env *Env, _ string) error {
	hosts := env.Admin.opts.Addresses
	if len(hosts) == 0 {
		return errors.New("name the entry host with --hosts")
	}
	if len(hosts) > 1 && !c.all {
		return fmt.Errorf("--hosts names %d entry hosts; name one, or add --all", len(hosts))
	}
	var faults []error
	for _, a := range each(ctx, env.Admin, func(ctx context.Context, addr string) (struct{}, error) {
		return struct{}{}, env.Admin.call(ctx, http.MethodPost, addr, "/drain", nil, nil)
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
			continue
		}
		env.say("%s drains", a.addr)
	}
	return errors.Join(faults...)
}
