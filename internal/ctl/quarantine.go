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

// QuarantineEntry is one suspected or quarantined request in the list of an entry
// host.
type QuarantineEntry struct {
	Address string `json:"address"` // admin address of the entry host
	quarantine.Entry
}

// verdictNames are the names of verdicts in tables.
var verdictNames = map[quarantine.Verdict]string{
	quarantine.Allowed: "clear", quarantine.Isolated: "alone", quarantine.Refused: "refused",
}

// quarantineCommands returns the commands on suspected and quarantined requests.
func quarantineCommands() []*command {
	return []*command{
		{name: "quarantine list", help: "show what is suspected of crashing backend servers or quarantined", run: quarantineList},
		{name: "quarantine lift", help: "allow quarantined requests to run again on all entry hosts", arg: "fingerprint", run: quarantineLift},
	}
}

// quarantineList shows the list of each entry host. A host that does not respond is an
// error, but the lists of the others are shown.
func quarantineList(ctx context.Context, env *Env, _ string) error {
	list := []QuarantineEntry{}
	var rows [][]string
	var errs []error
	for _, result := range callEach(ctx, env.Admin, func(ctx context.Context, addr string) ([]quarantine.Entry, error) {
		var out []quarantine.Entry
		err := env.Admin.call(ctx, http.MethodGet, addr, "/quarantine", nil, &out)
		return out, err
	}) {
		if result.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", result.addr, result.err))
		}
		for _, entry := range result.value {
			list = append(list, QuarantineEntry{result.addr, entry})
			rows = append(rows, []string{
				result.addr, fmt.Sprintf("%016x", uint64(entry.Fingerprint)), entry.Kind.String(), strconv.Itoa(entry.Crashes),
				verdictNames[entry.Verdict], entry.Expires.Format(time.RFC3339),
			})
		}
	}
	if err := env.print(list, []string{"ADDRESS", "FINGERPRINT", "KIND", "CRASHES", "VERDICT", "EXPIRES"}, rows); err != nil {
		return err
	}
	return errors.Join(errs...)
}

// quarantineLift lifts the quarantine on each host that has the request in its list,
// and returns an error if none has it or a host does not respond.
func quarantineLift(ctx context.Context, env *Env, fingerprint string) error {
	if _, err := strconv.ParseUint(fingerprint, 16, 64); err != nil {
		return fmt.Errorf("%q is not a fingerprint; use the hexadecimal digits that quarantine list shows", fingerprint)
	}
	lifted := 0
	var errs []error
	for _, result := range callEach(ctx, env.Admin, func(ctx context.Context, addr string) (struct{}, error) {
		return struct{}{}, env.Admin.call(ctx, http.MethodDelete, addr, "/quarantine/"+fingerprint, nil, nil)
	}) {
		var refused *statusError
		switch {
		case result.err == nil:
			lifted++
		case errors.As(result.err, &refused) && refused.status == http.StatusNotFound:
			// Not in the list of this host; it may be in that of another.
		default:
			errs = append(errs, fmt.Errorf("%s: %w", result.addr, result.err))
		}
	}
	if lifted == 0 && len(errs) == 0 {
		return fmt.Errorf("no entry host has %s in its list", fingerprint)
	}
	env.printLine("lifted on %d entry hosts", lifted)
	return errors.Join(errs...)
}
