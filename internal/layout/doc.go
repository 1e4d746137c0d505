// Package layout holds tests that check the structure of the repository: the
// import rules between layers, the places that choose servers, the platform
// adapter, file lengths, doc comments and links between pages.
package layout
