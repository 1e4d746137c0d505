package claim

import "time"

// Options bound what claims cost.
type Options struct {
	Shards           int           // objects on the platform; every host must use the same number
	Retention        time.Duration // time for which the platform remembers a key
	WriteInterval    time.Duration // between updates of one shard; 1/Spacing times Shards bounds the writes of all hosts
	SealThreshold    int           // claims at which a shard's object is emptied into a sealed part
	WritesPerSecond  float64       // of this host on the platform, when hosts cannot agree on who writes
	WriteBurst       int
	CommitTimeout    time.Duration // for one batch, with its repeats
	StoreBackoff     time.Duration // refusals at once after the platform failed
	MaxKeys          int           // keys held in memory
	MaxResponseBytes int64         // bytes of answers kept for resends
	ResponseTTL      time.Duration // for which an answer is kept
	TicketTTL        time.Duration // from minting to the last first use
	CallTimeout      time.Duration // for one question to another host
	PollInterval     time.Duration // between questions about a running request
	WriterBackoff    time.Duration // for which a host that did not write for others is passed over
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Shards: 4, Retention: 30 * time.Minute, WriteInterval: 25 * time.Millisecond, SealThreshold: 128, WritesPerSecond: 100, WriteBurst: 50,
		CommitTimeout: time.Second, StoreBackoff: 500 * time.Millisecond,
		MaxKeys: 200_000, MaxResponseBytes: 32 << 20, ResponseTTL: 10 * time.Minute,
		TicketTTL: 10 * time.Minute, CallTimeout: 500 * time.Millisecond, PollInterval: 50 * time.Millisecond,
		WriterBackoff: time.Second,
	}
}
