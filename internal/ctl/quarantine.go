package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/process/quarantine"
)

// QuarantineEntry is one suspect or quarantined request, as an entry host
// lists it.
type QuarantineEntry struct {
	Address string `json:"address"`
	quarantine.Entry
}

var verdictNames = map[quarantine.Verdict]string{
	quarantine.Allowed: "clear", quarantine.Isolated: "alone", quarantine.Refused: "refused",
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
	for _, a := range each(ctx, env.Admin, func(ctx context.Context, addr string) ([]quarantine.Entry, error) {
		var out []quarantine.Entry
		err := env.Admin.call(ctx, http.MethodGet, addr, "/quarantine", nil, &out)
		return out, err
	}) {
		if a.err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
		}
		for _, q := range a.value {
			list = append(list, QuarantineEntry{a.addr, q})
			rows = append(rows, []string{
				a.addr, fmt.Sprintf("%016x", uint64(q.Fingerprint)), strconv.Itoa(q.Crashes),
				verdictNames[q.Verdict], q.Expires.Format(time.RFC3339),
			})
		}
	}
	if err := env.print(list, []string{"ADDRESS", "FINGERPRINT", "CRASHES", "VERDICT", "EXPIRES"}, rows); err != nil {
		return err
	}
	return errors.Join(faults...)
}

func quarantineLift(ctx context.Context, env *Env, fingerprint string) error {
	if _, err := strconv.ParseUint(fingerprint, 16, 64); err != nil {
		return fmt.Errorf("%q is not a fingerprint; take the hexadecimal digits from quarantine list", fingerprint)
	}
	lifted := 0
	var faults []error
	for _, a := range each(ctx, env.Admin, func(ctx context.Context, addr string) (struct{}, error) {
		return struct{}{}, env.Admin.call(ctx, http.MethodDelete, addr, "/quarantine/"+fingerprint, nil, nil)
	}) {
		var refused *statusError
		switch {
		case a.err == nil:
			lifted++
		case errors.As(a.err, &refused) && refused.status == http.StatusNotFound:
			// Not on this host's list; another may have it.
		default:
			faults = append(faults, fmt.Errorf("%s: %w", a.addr, a.err))
		}
	}
	if lifted == 0 && len(faults) == 0 {
		return fmt.Errorf("no entry host has %s in its list", fingerprint)
	}
	env.say("lifted on %d entry hosts", lifted)
	return errors.Join(faults...)
}
