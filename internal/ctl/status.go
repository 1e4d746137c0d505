package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"bilberrydale/internal/settings"
)

// HostStatus is one entry host's answer to status. It reads the fields that
// operators need from the entry host's own status document.
type HostStatus struct {
	Address   string `json:"address"`
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Region    string `json:"region"`
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"draining"`
	Active    int64  `json:"active"`
	Release   uint64 `json:"release"`
	Hash      string `json:"hash"`
	LastError string `json:"last_error,omitempty"`
	Fault     string `json:"fault,omitempty"` // why there is no answer
}

func hostCommands() []*command {
	drain := &drainCommand{}
	return []*command{
		{name: "status", help: "show which entry host has which release in force; fails when they differ", run: status},
		{name: "drain", help: "take entry hosts out of service: no new requests, those in flight finish", flags: drain.flags, run: drain.run},
	}
}

func (e *Env) statuses(ctx context.Context) ([]HostStatus, error) {
	if len(e.Hosts.opts.Addresses) == 0 {
		return nil, errors.New("name the entry hosts with --hosts")
	}
	var out []HostStatus
	for _, a := range each(ctx, e.Hosts, func(ctx context.Context, addr string) (HostStatus, error) {
		var s HostStatus
		err := e.Hosts.call(ctx, http.MethodGet, addr, "/status", nil, &s)
		return s, err
	}) {
		a.value.Address = a.addr
		if a.err != nil {
			a.value.Fault = a.err.Error()
		}
		out = append(out, a.value)
	}
	return out, nil
}

func status(ctx context.Context, env *Env, _ string) error {
	list, err := env.statuses(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{
			s.Address, s.Name, s.Domain, strconv.FormatUint(s.Release, 10), s.Hash,
			strconv.FormatBool(s.Ready), strconv.FormatBool(s.Draining), strconv.FormatInt(s.Active, 10), s.LastError + s.Fault,
		})
	}
	header := []string{"ADDRESS", "NAME", "DOMAIN", "RELEASE", "HASH", "READY", "DRAINING", "ACTIVE", "FAULT"}
	if err := env.print(list, header, rows); err != nil {
		return err
	}
	return disagreement(list)
}

// disagreement tells whether a release is not in force everywhere.
func disagreement(list []HostStatus) error {
	silent, without := 0, 0
	releases := map[string]bool{}
	for _, s := range list {
		if s.Fault != "" {
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
	hosts := env.Hosts.opts.Addresses
	if len(hosts) == 0 {
		return errors.New("name the entry host with --hosts")
	}
	if len(hosts) > 1 && !c.all {
		return fmt.Errorf("--hosts names %d entry hosts; name one, or add --all", len(hosts))
	}
	var faults []error
	for _, a := range each(ctx, env.Hosts, func(ctx context.Context, addr string) (struct{}, error) {
		return struct{}{}, env.Hosts.call(ctx, http.MethodPost, addr, "/drain", nil, nil)
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
			continue
		}
		env.say("%s drains", a.addr)
	}
	return errors.Join(faults...)
}
