// Package memberbench measures membership over loopback TCP: what heartbeats,
// polls and leases cost a daemon as hosts are added, and how soon a killed host
// and a leaving backend server are noticed. Run it with make bench, or
//
//	go test -run '^$' -bench . ./internal/memberbench
package memberbench
