package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesText has the platform's names of what the stand-ins speak, a line each: our word, the name. They stand in a file of
// data, as the names belong to the adapter.
//
//go:embed names.txt
var namesText string

// names puts the platform's names in place of our words in braces.
var names = newNames()

// newNames reads namesText.
func newNames() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(namesText) {
		word, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		pairs = append(pairs, "{"+word+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// wire returns a text with the platform's names.
func wire(text string) string { return names.Replace(text) }

// encode returns an object as JSON, with the platform's names.
func encode(object fields) []byte {
	data, err := json.Marshal(object)
	if err != nil {
		panic(err) // the objects here can be encoded
	}
	return []byte(wire(string(data)))
}
