// Package soak has a randomized run of the real daemon, bilberryedge, as
// separate processes before stand-ins of the platform, with faults from outside
// of them. See soak_test.go.
package soak
