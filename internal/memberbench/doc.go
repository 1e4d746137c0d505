// Package memberbench benchmarks membership over loopback TCP: the cost of
// heartbeats, polls and leases per daemon for several fleet sizes, and the time
// until a killed host and a leaving backend server are detected. Run it with
// make bench, or
//
//	go test -run '^$' -bench . ./internal/memberbench
package memberbench
