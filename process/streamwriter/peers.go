package streamwriter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Methods of calls between entry hosts. The strings are the wire format.
const (
	methodTell peer.Method = "streamwriter.tell" // records of streams that the caller has begun
	methodAsk  peer.Method = "streamwriter.ask"  // asks for the writer of a stream
	// methodArchive asks to write records to the archive. Older builds refuse it.
	methodArchive peer.Method = "streamwriter.archive"
)

// recordMessage is a record in a call of methodTell or methodArchive.
type recordMessage struct {
	AttemptID string
	Route     string
	Writer    Writer
	TTLMillis int64
}

// newRecordMessage returns the message of a record.
func newRecordMessage(r record, now time.Time) recordMessage {
	return recordMessage{r.attemptID, r.route, r.writer, r.expiresAt.Sub(now).Milliseconds()}
}

// newRecordMessages returns the messages of records.
func newRecordMessages(list []record, now time.Time) []recordMessage {
	out := make([]recordMessage, len(list))
	for i, r := range list {
		out[i] = newRecordMessage(r, now)
	}
	return out
}

// newRecords returns the records of the messages of one call.
func newRecords(list []recordMessage, now time.Time) []record {
	out := make([]record, 0, len(list))
	for _, m := range list[:min(len(list), maxRecordsPerMessage)] {
		ttl := min(time.Duration(m.TTLMillis)*time.Millisecond, maxTTL)
		out = append(out, record{attemptID: m.AttemptID, route: m.Route, writer: m.Writer, expiresAt: now.Add(ttl)})
	}
	return out
}

// askRequest is the payload of methodAsk. AttemptID may be empty: only the possible writers
// are asked for then.
type askRequest struct {
	AttemptID string
	Route     string
}

// askResponse is the response to methodAsk.
type askResponse struct {
	Known     bool // a record is there; Writer is zero if hosts have told different ones
	Writer    Writer
	TTLMillis int64    // of the record
	Possible  []Writer // of the route; empty: the host does not know them
	Fresh     bool     // Possible was confirmed a moment ago
}

// answer is the response of a host.
type answer struct {
	askResponse
	host string
}

// record returns the record in an answer.
func (a answer) record(q Query, now time.Time) record {
	return record{attemptID: q.FirstAttemptID, route: q.Route, writer: a.Writer, expiresAt: now.Add(min(time.Duration(a.TTLMillis)*time.Millisecond, maxTTL))}
}

const (
	// keyGroups is the number of groups into which the attempts of a route are divided. The
	// records of a group have the same holders, so that a host keeps few connections for them.
	keyGroups = 4
	// holdersInDomain is the number of holders in a host's own failure domain: if one of them
	// began the stream and is gone, there is another.
	holdersInDomain = 2
	// holderDomains is the number of failure domains with a holder for all hosts.
	holderDomains = 3
)

// holders returns the names of the hosts that are told of a stream, and asked for it: some of this
// host's failure domain, which clients reach next and which can be cut off together, and one in
// each of some other domains, the same ones for all hosts.
func (t *Tracker) holders(route, attemptID string) []string {
	key := rendezvous.Combine(rendezvous.Hash(route), rendezvous.Hash(attemptID)%keyGroups)
	self := t.opts.Link.Self()
	byDomain := map[string][]string{self.Domain: {self.Host}}
	for _, id := range t.opts.Link.Peers() {
		byDomain[id.Domain] = append(byDomain[id.Domain], id.Host)
	}
	var domains []string
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	out := ranked(byDomain[self.Domain], key, holdersInDomain)
	for _, domain := range ranked(domains, key, holderDomains) {
		if domain != self.Domain {
			out = append(out, ranked(byDomain[domain], key, 1)...)
		}
	}
	return slices.DeleteFunc(out, func(host string) bool { return host == self.Host })
}

// ranked returns the first n names by rendezvous hashing for a key.
func ranked(names []string, key uint64, n int) []string {
	score := func(name string) uint64 { return rendezvous.Combine(rendezvous.Hash(name), key) }
	out := slices.SortedFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return out[:min(n, len(out))]
}

const (
	tellTimeout = time.Second
	// askTimeout bounds the wait of a client for the answers: a handshake between regions takes
	// three of their round trips, 40 ms each.
	askTimeout = 300 * time.Millisecond
	// maxRecordsPerMessage bounds the records of one call of methodTell.
	maxRecordsPerMessage = 512
	// maxTTL bounds the lifetime of records that other hosts tell.
	maxTTL = 10 * time.Minute
)

// tellRetries are the pauses before a call is repeated that got no answer.
var tellRetries = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// tell sends records to their holders, in the background.
func (t *Tracker) tell(list []record) {
	now := t.opts.Clock.Now()
	byHost := map[string][]recordMessage{}
	for _, r := range list {
		m := newRecordMessage(r, now)
		for _, host := range t.holders(r.route, r.attemptID) {
			byHost[host] = append(byHost[host], m)
		}
	}
	for host, messages := range byHost {
		for part := range slices.Chunk(messages, maxRecordsPerMessage) {
			go t.tellHost(host, part)
		}
	}
}

// tellHost sends records to a host, with tellRetries.
func (t *Tracker) tellHost(host string, list []recordMessage) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		err := t.opts.Link.Call(ctx, host, methodTell, list, nil)
		cancel()
		if err == nil || i >= len(tellRetries) {
			return // the other holders may have the records
		}
		<-t.opts.Clock.After(tellRetries[i])
	}
}

// serveTell handles methodTell.
func (t *Tracker) serveTell(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var list []recordMessage
	if err := peer.Unmarshal(payload, &list); err != nil {
		return nil, err
	}
	for _, r := range newRecords(list, t.opts.Clock.Now()) {
		t.records.add(r)
	}
	return peer.Marshal(nil)
}

// serveAsk handles methodAsk.
func (t *Tracker) serveAsk(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q askRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	now := t.opts.Clock.Now()
	out := askResponse{Fresh: t.opts.Fresh()} // before Possible is read, so that it holds for that
	out.Possible = t.Possible(q.Route)
	if r, ok := t.records.get(q.AttemptID, now); ok {
		out.Known, out.Writer, out.TTLMillis = true, r.writer, r.expiresAt.Sub(now).Milliseconds()
	}
	return peer.Marshal(out)
}

// ask asks the holders for the writer of a stream. It returns the number of hosts asked, and their
// answers: up to the first that knows the writer, or all that arrive within askTimeout.
func (t *Tracker) ask(ctx context.Context, q Query) (asked int, answers []answer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := t.holders(q.Route, q.FirstAttemptID)
	arrived := make(chan answer, len(hosts))
	var calls sync.WaitGroup
	for _, host := range hosts {
		calls.Go(func() {
			a := answer{host: host}
			if t.opts.Link.Call(ctx, host, methodAsk, askRequest{q.FirstAttemptID, q.Route}, &a.askResponse) == nil {
				arrived <- a
			}
		})
	}
	go func() {
		calls.Wait()
		close(arrived)
	}()
	for a := range arrived {
		answers = append(answers, a)
		if a.Known {
			break
		}
	}
	return len(hosts), answers
}
