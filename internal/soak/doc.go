// Package soak holds a randomized soak test that runs the daemon bilberryedge as
// separate processes, with a stand-in for the platform and stand-in backend
// servers, and injects faults from outside the processes. See soak_test.go.
package soak
