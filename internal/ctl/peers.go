package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// PeerView is what one entry host believes of another.
type PeerView struct {
	From     string `json:"from"` // address of the host that was asked
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Draining bool   `json:"draining"`
}

// peers shows each host's own view: after a cut the views differ, and that is
// what an operator has to see.
func peers(ctx context.Context, env *Env, _ string) error {
	list := []PeerView{}
	var rows [][]string
	var faults []error
	for _, a := range each(ctx, env.Admin, func(ctx context.Context, addr string) ([]PeerView, error) {
		var out []PeerView
		err := env.Admin.call(ctx, http.MethodGet, addr, "/peers", nil, &out)
		return out, err
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
		}
		for _, p := range a.value {
			p.From = a.addr
			list = append(list, p)
			rows = append(rows, []string{p.From, p.Host, p.Domain, p.Region, p.Address, p.State, strconv.FormatBool(p.Draining)})
		}
	}
	if err := env.print(list, []string{"FROM", "HOST", "DOMAIN", "REGION", "ADDRESS", "STATE", "DRAINING"}, rows); err != nil {
		return err
	}
	return errors.Join(faults...)
}
