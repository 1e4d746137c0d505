package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// PeerView is the state of one entry host as seen by another.
type PeerView struct {
	From     string `json:"from"` // admin address of the host that reported the view
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Address  string `json:"address"`
	State    string `json:"state"` // text of a membership.State
	Draining bool   `json:"draining"`
}

// listPeers shows the views of all hosts without merging them: in a network
// partition they differ, and the operator has to see the differences.
func listPeers(ctx context.Context, env *Env, _ string) error {
	list := []PeerView{}
	var rows [][]string
	var errs []error
	for _, result := range callEach(ctx, env.Admin, func(ctx context.Context, addr string) ([]PeerView, error) {
		var out []PeerView
		err := env.Admin.call(ctx, http.MethodGet, addr, "/peers", nil, &out)
		return out, err
	}) {
		if result.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", result.addr, result.err))
		}
		for _, p := range result.value {
			p.From = result.addr
			list = append(list, p)
			rows = append(rows, []string{p.From, p.Host, p.Domain, p.Region, p.Address, p.State, strconv.FormatBool(p.Draining)})
		}
	}
	if err := env.print(list, []string{"FROM", "HOST", "DOMAIN", "REGION", "ADDRESS", "STATE", "DRAINING"}, rows); err != nil {
		return err
	}
	return errors.Join(errs...)
}
