package table

import "time"

// Bounds of the tables. They lie an order of magnitude above the size that
// the system is designed for, and keep a mistaken file from being compiled by
// every entry host.
const (
	MaxFileBytes    = 8 << 20
	MaxRoutes       = 2000
	MaxPools        = 2000
	MaxServers      = 20000 // of one pool
	MaxStages       = 12    // of one route
	MaxMatchHeaders = 8     // of one match
	MaxNameBytes    = 63    // bytes of a name
	MaxPathBytes    = 512   // bytes of a path
	MaxDeadline     = Duration(10 * time.Minute)
	MaxSlots        = 100000
	MaxWeight       = 1000
	// MaxRowBytes bounds one encoded row: a row is never split, and one
	// object of the platform has to hold it.
	MaxRowBytes = 800 << 10
)
