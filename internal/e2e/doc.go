// Package e2e holds the tests that run the built programs as processes.
package e2e
