package table

import "time"

// Limits of the tables. They are an order of magnitude above the size that the system is
// designed for, and keep a file with mistakes from being compiled by every entry host.
const (
	MaxFileBytes    = 8 << 20 // of one YAML file
	MaxRoutes       = 2000
	MaxPools        = 2000
	MaxServers      = 20000                      // in one pool
	MaxStages       = 12                         // in one route
	MaxMatchHeaders = 8                          // in one match
	MaxNameBytes    = 63                         // of a row, stage, server, role, domain or region
	MaxPathBytes    = 512                        // of a match or stage
	MaxDeadline     = Duration(10 * time.Minute) // of a route; also limits a stage's budget
	MaxSlots        = 100000                     // of one server
	MaxWeight       = 1000                       // of one server
	// MaxRowBytes is the maximum size of an encoded row. A row is never split, so it has to fit
	// into one object of the platform.
	MaxRowBytes = 800 << 10
)
