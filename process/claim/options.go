package claim

import "time"

// Options bound what claims cost.
type Options struct {
	Shards          int           // objects on the platform; every host must use the same number
	Window          time.Duration // time for which the platform remembers a key
	Spacing         time.Duration // between updates of one shard; 1/Spacing times Shards bounds the writes of all hosts
	SealAt          int           // claims at which a shard's object is emptied into a sealed part
	WritesPerSecond float64       // of this host on the platform, when hosts cannot agree on who writes
	WriteBurst      int
	CommitTimeout   time.Duration // for one batch, with its repeats
	Backoff         time.Duration // refusals at once after the platform failed
	MaxKeys         int           // keys held in memory
	AnswerBytes     int64         // bytes of answers kept for resends
	AnswerTime      time.Duration // for which an answer is kept
	TicketLife      time.Duration // from minting to the last first use
	AskTimeout      time.Duration // for one question to another host
	PollInterval    time.Duration // between questions about a running request
	AvoidTime       time.Duration // for which a host that did not write for others is passed over
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Shards: 4, Window: 30 * time.Minute, Spacing: 25 * time.Millisecond, SealAt: 128, WritesPerSecond: 100, WriteBurst: 50,
		CommitTimeout: time.Second, Backoff: 500 * time.Millisecond,
		MaxKeys: 200_000, AnswerBytes: 32 << 20, AnswerTime: 10 * time.Minute,
		TicketLife: 10 * time.Minute, AskTimeout: 500 * time.Millisecond, PollInterval: 50 * time.Millisecond,
		AvoidTime: time.Second,
	}
}
