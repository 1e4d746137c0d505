package accountshare

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/peer"
)

const (
	// reportInterval is the time between two reports while a service is short.
	reportInterval = 400 * time.Millisecond
	// firstInterval is the same within startTime of its beginning, when hosts know little.
	firstInterval = 200 * time.Millisecond
	startTime     = 2 * time.Second
	// reportMaxAge is how long a report counts.
	reportMaxAge = 3 * reportInterval
	// reportTimeout is the time in which hosts of another region respond, also over a connection
	// that has to be opened.
	reportTimeout = 300 * time.Millisecond
	// idleTime is how long after its last request a class at a host is left out.
	idleTime = 2 * rateWindow
	// maxAttempts is the number of hosts that one report is sent to until one takes it.
	maxAttempts = 3
	// maxClasses bounds the classes of a report; the smallest ones are added up.
	maxClasses = 48
)

// methodReport tells a host what accounts ask of a service that is short; its response is what
// that host knows of their shares.
const methodReport peer.Method = "accountshare.report"

// reportMessage is the content of methodReport: totals of the sending host and those that report to
// it.
type reportMessage struct {
	Service string
	Classes []classMessage
	Rest    float32
	RestOf  uint32
	Taken   float32
	Refused float32
	Hosts   uint32
}

// classMessage is the demand of a class.
type classMessage struct {
	Account  uint32
	Priority uint8
	Demand   float32
}

// decisionMessage is the response to methodReport.
type decisionMessage struct {
	Decided  bool // false: the other fields are not set
	AgeMS    uint32
	By       string
	Hosts    uint32
	Capacity float32
	Level    float32
	Cuts     []cutMessage
}

// cutMessage is the cut of an account.
type cutMessage struct {
	Account uint32
	Cut     float32
}

// received is a report of another host.
type received struct {
	totals totals
	at     time.Time
}

// Run sends reports and makes decisions while a service is short, and forgets what is idle, until ctx ends. It returns nil.
func (s *Shares) Run(ctx context.Context) error {
	var next <-chan time.Time // nil while no service is short
	sweep := s.opts.Clock.After(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep:
			s.sweep()
			sweep = s.opts.Clock.After(sweepInterval)
			continue
		case <-s.wake:
		case <-next:
		}
		next = nil
		if interval := s.reportAll(ctx); interval > 0 {
			next = s.opts.Clock.After(interval)
		}
	}
}

// reportAll sends the reports of this host. It returns the time until the next ones; 0: no service is
// short.
func (s *Shares) reportAll(ctx context.Context) time.Duration {
	var g errgroup.Group
	next := time.Duration(0)
	for _, svc := range *s.services.Load() {
		if interval := s.stillShort(svc); interval > 0 {
			if next == 0 || interval < next {
				next = interval
			}
			g.Go(func() error { s.report(ctx, svc); return nil })
		}
	}
	_ = g.Wait()                              // no call returns an error
	jitter := 0.9 + 0.2*s.opts.Rand.Float64() // hosts that began together do not stay so
	return time.Duration(jitter * float64(next))
}

// stillShort ends the shortage of a service if the time for that has come. It returns the time between
// two reports; 0: the service is not short.
func (s *Shares) stillShort(svc *service) time.Duration {
	now := s.opts.Clock.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.short && !now.Before(svc.shortUntil) {
		svc.short, svc.decision, svc.capacity = false, nil, capacity{}
		clear(svc.children)
		s.changed(Change{Service: svc.name, Lasted: now.Sub(svc.shortSince)})
	}
	switch {
	case !svc.short:
		return 0
	case now.Sub(svc.shortSince) < startTime:
		return firstInterval
	}
	return reportInterval
}

// report sends the totals of a service to the next host towards the root and keeps the answer. If
// there is none, this host decides.
func (s *Shares) report(ctx context.Context, svc *service) {
	svc.mu.Lock()
	t := svc.totals(s.opts.Clock.Now())
	svc.mu.Unlock()
	self, all := s.opts.Hosts()
	if s.opts.Link != nil && s.reportUp(ctx, svc, &t, superiors(svc.name, self, all)) {
		return
	}
	now := s.opts.Clock.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.capacity.update(&t, now)
	svc.decision = &decision{limits: decide(&t, svc.capacity.perSecond), at: now, by: self, hosts: t.hosts}
}

// reportUp sends totals to the first host that takes them. It returns whether one did.
func (s *Shares) reportUp(ctx context.Context, svc *service, t *totals, hosts []string) bool {
	attempts := 0
	for _, host := range hosts {
		if s.suspects.has(host, s.opts.Clock.Now()) {
			continue
		}
		if attempts++; attempts > maxAttempts {
			break // the last decision holds until the next report
		}
		var answer decisionMessage
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := s.opts.Link.Call(callCtx, host, methodReport, encodeReport(svc.name, t), &answer)
		cancel()
		if err == nil {
			s.keep(svc, &answer)
			return true
		}
		s.suspects.record(host, err, s.opts.Clock.Now())
		if s.opts.OnFailure != nil {
			s.opts.OnFailure(host, err)
		}
	}
	return attempts > maxAttempts
}

// keep keeps the decision that another host has answered with.
func (s *Shares) keep(svc *service, m *decisionMessage) {
	if !m.Decided || !isAmount(m.Capacity) || !isAmount(m.Level) {
		return
	}
	d := &decision{at: s.opts.Clock.Now().Add(-time.Duration(m.AgeMS) * time.Millisecond), by: m.By, hosts: int(m.Hosts)}
	d.capacity, d.level, d.cuts = float64(m.Capacity), float64(m.Level), make(map[accountID]float32, len(m.Cuts))
	for _, c := range m.Cuts {
		if isAmount(c.Cut) {
			d.cuts[accountID(c.Account)] = c.Cut
		}
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.capacity = capacity{} // not this host decides
	if old := svc.decision; old == nil || old.at.Before(d.at) {
		svc.decision = d
	}
}

// isAmount reports whether a number of another host can be an amount.
func isAmount(x float32) bool { return x >= 0 && !math.IsInf(float64(x), 0) }

// totals returns what this host and those that report to it count. The caller holds svc.mu.
func (svc *service) totals(now time.Time) totals {
	t := totals{demand: map[class]float64{}, taken: svc.taken.perSecond(rateWindow, now), refused: svc.refused.perSecond(refusalWindow, now), hosts: 1}
	for c, state := range svc.classes {
		if now.Sub(state.demand.at) < idleTime {
			t.demand[c] = state.demand.perSecond(rateWindow, now)
		}
	}
	maps.DeleteFunc(svc.children, func(_ string, r received) bool { return now.Sub(r.at) >= reportMaxAge })
	for _, host := range slices.Sorted(maps.Keys(svc.children)) {
		t.add(svc.children[host].totals)
	}
	t.truncate(maxClasses)
	return t
}

// encodeReport returns the message of totals.
func encodeReport(service string, t *totals) reportMessage {
	m := reportMessage{Service: service, Rest: float32(t.rest), RestOf: uint32(t.restOf), Taken: float32(t.taken), Refused: float32(t.refused), Hosts: uint32(t.hosts)}
	for _, c := range t.classes() {
		m.Classes = append(m.Classes, classMessage{Account: uint32(c.account), Priority: c.priority, Demand: float32(t.demand[c])})
	}
	return m
}

// decode returns the totals of a message. It returns an error if a number is no amount.
func (m *reportMessage) decode() (totals, error) {
	t := totals{demand: make(map[class]float64, len(m.Classes)), rest: float64(m.Rest), restOf: int(m.RestOf), taken: float64(m.Taken), refused: float64(m.Refused), hosts: int(m.Hosts)}
	valid := isAmount(m.Rest) && isAmount(m.Taken) && isAmount(m.Refused)
	for _, c := range m.Classes {
		valid = valid && isAmount(c.Demand)
		t.demand[class{accountID(c.Account), c.Priority}] += float64(c.Demand)
	}
	if !valid {
		return totals{}, fmt.Errorf("accountshare: report on %s has numbers that are no rates", m.Service)
	}
	return t, nil
}

// onReport handles methodReport.
func (s *Shares) onReport(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var m reportMessage
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("accountshare: malformed report: %w", err)
	}
	t, err := m.decode()
	if err != nil {
		return nil, err
	}
	now, svc := s.opts.Clock.Now(), s.get(m.Service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.children[from.Host] = received{t, now}
	s.extend(svc, now, reportMaxAge)
	return peer.Marshal(svc.answer(now))
}

// answer returns the decision that holds. The caller holds svc.mu.
func (svc *service) answer(now time.Time) decisionMessage {
	d := svc.currentDecision(now)
	if d == nil {
		return decisionMessage{}
	}
	m := decisionMessage{Decided: true, AgeMS: uint32(max(now.Sub(d.at).Milliseconds(), 0)), By: d.by, Hosts: uint32(d.hosts), Capacity: float32(d.capacity), Level: float32(d.level)}
	for account, cut := range d.cuts {
		m.Cuts = append(m.Cuts, cutMessage{uint32(account), cut})
	}
	return m
}
