package accountshare

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// fanOut is the number of hosts that report to one host of the tree: two levels below the root hold
// 73 hosts, three 585.
const fanOut = 8

// rank returns the hosts in the order of the tree for a service. Two hosts that know different lists
// agree on which of two hosts comes first, so that no reports go in a circle.
func rank(service string, hosts []string) []string {
	key := rendezvous.Hash(service)
	type scored struct {
		host  string
		score uint64
	}
	order := make([]scored, len(hosts))
	for i, host := range hosts {
		order[i] = scored{host, rendezvous.Combine(rendezvous.Hash(host), key)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	out := make([]string, len(order))
	for i, o := range order {
		out[i] = o.host
	}
	return out
}

// superiors returns the hosts to which a host may report, in the order in which it tries them: its
// parent, the parent of that one, up to the root, and then the others before it, first those next to
// the root. None: it is the root.
func superiors(service, self string, hosts []string) []string {
	ranked := rank(service, hosts)
	position := slices.Index(ranked, self)
	if position < 0 {
		return nil
	}
	var out []string
	for i := position; i > 0; {
		i = (i - 1) / fanOut
		out = append(out, ranked[i])
	}
	for _, host := range ranked[:position] {
		if !slices.Contains(out, host) {
			out = append(out, host)
		}
	}
	return out
}

const (
	// suspectTime is how long a host gets no reports after one that it has not taken.
	suspectTime = 5 * time.Second
	// unsupportedTime is the same for a host that runs a build without this method.
	unsupportedTime = 30 * time.Second
)

// suspects are hosts that did not take a report a moment ago. The zero value has none. It is safe
// for concurrent use.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time // by host
}

// has reports whether a host is suspected.
func (s *suspects) has(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, known := s.until[host]
	if known && !now.Before(until) {
		delete(s.until, host)
	}
	return known && now.Before(until)
}

// record records that a host has not taken a report.
func (s *suspects) record(host string, err error, now time.Time) {
	d := suspectTime
	if errors.Is(err, peer.ErrNoHandler) {
		d = unsupportedTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[host] = now.Add(d)
}
