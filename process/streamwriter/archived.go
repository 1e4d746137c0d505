package streamwriter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// archiveReadInterval is the time between two reads of the archive by a host.
	archiveReadInterval = 500 * time.Millisecond
	// archiveReadDelay is how long hosts are asked for a stream before the archive is read.
	archiveReadDelay = 50 * time.Millisecond
	// archiveReadTimeout bounds the wait of a client for one.
	archiveReadTimeout = 700 * time.Millisecond
	// maxArchived bounds the streams of the archive that a host remembers.
	maxArchived = maxRecords
)

// archivedStream is a stream in the archive.
type archivedStream struct {
	writer    Writer // zero: there are several
	expiresAt time.Time
}

// archived holds the streams of the archive as this host last read them. It is safe for concurrent
// use.
type archived struct {
	opts    *Options
	streams atomic.Pointer[map[StreamKey]archivedStream] // replaced whole

	mu     sync.Mutex // guards the fields below
	readAt time.Time  // begin of the last read; zero: none
	read   chan struct{}
}

// find returns the writer of a stream if the archive has it, which it reads if it has not been read
// a moment ago.
func (a *archived) find(ctx context.Context, key StreamKey) (Writer, bool) {
	if s, ok := a.get(key); ok {
		return s.writer, true
	}
	select {
	case <-a.refresh():
	case <-ctx.Done():
	}
	s, ok := a.get(key)
	return s.writer, ok
}

// has reports whether a stream was in the archive as last read.
func (a *archived) has(key StreamKey) bool {
	_, found := a.get(key)
	return found
}

// get returns a stream that has not expired.
func (a *archived) get(key StreamKey) (archivedStream, bool) {
	streams := a.streams.Load()
	if streams == nil {
		return archivedStream{}, false
	}
	s, ok := (*streams)[key]
	return s, ok && s.expiresAt.After(a.opts.Clock.Now())
}

// refresh reads the archive in the background unless that is in progress or was begun a moment ago.
// The result is closed once the last read has ended.
func (a *archived) refresh() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.Clock.Now()
	if a.read != nil && now.Sub(a.readAt) < archiveReadInterval {
		return a.read
	}
	a.readAt, a.read = now, make(chan struct{})
	go a.load(a.read)
	return a.read
}

// load reads the archive and closes done.
func (a *archived) load(done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), archiveReadTimeout)
	defer cancel()
	batches, err := a.opts.Archive.Load(ctx)
	a.opts.OnArchiveRead(len(batches), err)
	if err != nil {
		return
	}
	now, timeOfDay := a.opts.Clock.Now(), a.opts.TimeOfDay.Now()
	streams := map[StreamKey]archivedStream{}
	for _, b := range batches {
		left := min(b.ExpiresAt.Sub(timeOfDay), maxTTL)
		if left > 0 {
			addBatch(streams, b, now.Add(left))
		}
	}
	a.streams.Store(&streams)
}

// addBatch adds the streams of a batch.
func addBatch(streams map[StreamKey]archivedStream, b Batch, expiresAt time.Time) {
	for writer, keys := range b.Streams {
		for _, key := range keys {
			stream := archivedStream{writer, expiresAt}
			old, exists := streams[key]
			if exists && old.writer != writer {
				stream.writer = Writer{}
			}
			if exists || len(streams) < maxArchived {
				streams[key] = stream
			}
		}
	}
}
