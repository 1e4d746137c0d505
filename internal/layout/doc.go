// Package layout holds the test that keeps the tree's layout by life span.
package layout
