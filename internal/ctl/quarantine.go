package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// QuarantineEntry is one suspect or quarantined request, as an entry host
// lists it.
type QuarantineEntry struct {
	Address     string `json:"address"`
	Fingerprint string `json:"fingerprint"` // 16 hexadecimal digits
	Crashes     int    `json:"crashes"`
	Verdict     string `json:"verdict"`
	Expires     string `json:"expires"`
}

func quarantineCommands() []*command {
	return []*command{
		{name: "quarantine list", help: "show the requests that crash backend servers", run: quarantineList},
		{name: "quarantine lift", help: "let a request run again on every entry host", arg: "fingerprint", run: quarantineLift},
	}
}

func quarantineList(ctx context.Context, env *Env, _ string) error {
	list := []QuarantineEntry{}
	var rows [][]string
	var faults []error
	for _, a := range each(ctx, env.Hosts, func(ctx context.Context, addr string) ([]QuarantineEntry, error) {
		var out []QuarantineEntry
		return out, env.Hosts.call(ctx, http.MethodGet, addr, "/quarantine", nil, &out)
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
		}
		for _, q := range a.value {
			q.Address = a.addr
			list = append(list, q)
			rows = append(rows, []string{q.Address, q.Fingerprint, strconv.Itoa(q.Crashes), q.Verdict, q.Expires})
		}
	}
	if err := env.print(list, []string{"ADDRESS", "FINGERPRINT", "CRASHES", "VERDICT", "EXPIRES"}, rows); err != nil {
		return err
	}
	return errors.Join(faults...)
}

type liftAnswer struct {
	Lifted bool `json:"lifted"`
}

func quarantineLift(ctx context.Context, env *Env, fingerprint string) error {
	if _, err := strconv.ParseUint(fingerprint, 16, 64); err != nil {
		return fmt.Errorf("%q is not a fingerprint; take the 16 hexadecimal digits from quarantine list", fingerprint)
	}
	lifted := 0
	var faults []error
	for _, a := range each(ctx, env.Hosts, func(ctx context.Context, addr string) (liftAnswer, error) {
		var out liftAnswer
		return out, env.Hosts.call(ctx, http.MethodPost, addr, "/quarantine/lift?fingerprint="+fingerprint, nil, &out)
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
		}
		if a.value.Lifted {
			lifted++
		}
	}
	if lifted == 0 && len(faults) == 0 {
		return fmt.Errorf("no entry host has %s in its list", fingerprint)
	}
	env.say("lifted on %d entry hosts", lifted)
	return errors.Join(faults...)
}
