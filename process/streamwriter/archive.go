package streamwriter

import (
	"context"
	"slices"
	"time"

	"bilberrydale/process/rendezvous"
)

// Archive keeps the writers of streams where they outlive all hosts. Its methods may be called from
// any goroutine.
type Archive interface {
	// Store replaces a batch of this host. It is idempotent, and may have taken effect if it fails.
	Store(ctx context.Context, name string, b Batch) error
	// Load returns the batches of all hosts.
	Load(ctx context.Context) ([]Batch, error)
}

// Batch is a set of streams in an Archive.
type Batch struct {
	ExpiresAt time.Time // time of day from which no client takes up any of the streams
	Streams   map[Writer][]StreamKey
}

// StreamKey identifies a stream in an Archive. It is a hash, the same at all hosts and builds.
type StreamKey uint64

// newStreamKey returns the key of the stream of a route that a client's attempt began.
func newStreamKey(route, attemptID string) StreamKey {
	return StreamKey(rendezvous.Combine(rendezvous.Hash(route), rendezvous.Hash(attemptID)))
}

const (
	// hostsPerArchiver and maxArchivers set how many hosts of a failure domain write records to the
	// archive.
	hostsPerArchiver = 10
	maxArchivers     = 4
	// maxArchiversAsked is the number of hosts that are asked to write a record before the host
	// that began the stream writes it itself.
	maxArchiversAsked = 2
	// archiveTimeout bounds a call that asks for that.
	archiveTimeout = 300 * time.Millisecond
)

// archiversOf returns how many of the hosts of a failure domain write records to the archive.
func archiversOf(hosts int) int {
	return min((hosts+hostsPerArchiver-1)/hostsPerArchiver, maxArchivers)
}

// archivers returns the hosts that are asked in turn to write the record of a stream. They are of
// this host's failure domain, which may be cut off from others.
func (t *Tracker) archivers(key StreamKey) []string {
	self := t.opts.Link.Self()
	domain := []string{self.Host}
	for _, id := range t.opts.Link.Peers() {
		if id.Domain == self.Domain {
			domain = append(domain, id.Host)
		}
	}
	group := uint64(key) % uint64(archiversOf(len(domain)))
	return ranked(domain, rendezvous.Combine(archiverSeed, group), maxArchiversAsked)
}

// archiverSeed sets the keys by which archivers are chosen apart from others.
var archiverSeed = rendezvous.Hash("streamwriter.archive")

// archive lets records be written to the archive, in the background.
func (t *Tracker) archive(list []record) {
	now := t.opts.Clock.Now()
	hosts := map[string][]string{} // by the first of them
	records := map[string][]record{}
	for _, r := range list {
		asked := t.archivers(newStreamKey(r.route, r.attemptID))
		hosts[asked[0]] = asked
		records[asked[0]] = append(records[asked[0]], r)
	}
	for first, list := range records {
		for part := range slices.Chunk(list, maxRecordsPerMessage) {
			go t.archiveBy(hosts[first], part, now)
		}
	}
}

// archiveBy asks hosts in turn to write records to the archive. If none does, this host does.
func (t *Tracker) archiveBy(hosts []string, list []record, now time.Time) {
	for _, host := range hosts {
		if host == t.opts.Link.Self().Host {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), archiveTimeout)
		err := t.opts.Link.Call(ctx, host, methodArchive, newRecordMessages(list, now), nil)
		cancel()
		if err == nil {
			return
		}
	}
	t.archiver.add(list)
}
