package claim

import "time"

// Options bound the platform calls, memory and waiting times of claims. Zero
// fields get no defaults; see DefaultOptions.
type Options struct {
	Shards           int           // shard objects on the platform; must be equal on all hosts
	Retention        time.Duration // time for which the platform keeps a claim
	WriteInterval    time.Duration // minimum time between updates of a shard; Shards/WriteInterval bounds the writes of all hosts
	SealThreshold    int           // number of open claims at which they move from a shard's object to a sealed part
	WritesPerSecond  float64       // limit of this host's updates, for when hosts disagree about a shard's writer
	WriteBurst       int           // updates that may be sent at once before WritesPerSecond limits them
	CommitTimeout    time.Duration // timeout for one batch, with all attempts
	StoreBackoff     time.Duration // time after a platform failure in which claims are refused without a call
	MaxKeys          int           // maximum number of keys held in memory
	MaxResponseBytes int64         // total size of the response bodies cached for resends
	ResponseTTL      time.Duration // time for which a response is cached
	TicketTTL        time.Duration // time from minting a ticket to its latest first use
	CallTimeout      time.Duration // timeout for one call to another host
	PollInterval     time.Duration // time between status requests about a running request
	WriterBackoff    time.Duration // time for which a host that failed to write for others is not used as a writer
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Shards: 4, Retention: 30 * time.Minute, WriteInterval: 25 * time.Millisecond, SealThreshold: 128, WritesPerSecond: 100, WriteBurst: 50,
		CommitTimeout: time.Second, StoreBackoff: 500 * time.Millisecond,
		MaxKeys: 200_000, MaxResponseBytes: 32 << 20, ResponseTTL: 10 * time.Minute,
		TicketTTL: 10 * time.Minute, CallTimeout: 500 * time.Millisecond, PollInterval: 50 * time.Millisecond,
		WriterBackoff: time.Second,
	}
}
