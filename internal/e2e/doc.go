// Package e2e holds end-to-end tests that build the programs and run them as
// processes on loopback addresses.
package e2e
