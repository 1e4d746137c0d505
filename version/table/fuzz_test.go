package table

import (
	"os"
	"strings"
	"testing"

	"bilberrydale/process/release"
)

// For arbitrary bytes Parse returns either tables that are valid or errors that each have a row
// and a fix. It neither panics nor accepts invalid tables.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../../examples/kalahari/routes.yaml", "../../examples/kalahari/pools.yaml"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(invalidRoutes))
	f.Add([]byte(invalidPools))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, err := Parse([]File{{"a.yaml", data}})
		if err == nil {
			if err := Validate(tables); err != nil {
				t.Fatalf("Parse accepted invalid tables: %v", err)
			}
			return
		}
		errs, ok := err.(ValidationErrors) //nolint:errorlint // Parse returns nothing else
		if !ok {
			t.Fatalf("the error is not of type ValidationErrors: %v", err)
		}
		for _, e := range errs {
			if e.Problem == "" || e.Fix == "" || e.Row == "" || strings.HasPrefix(e.Row, ".") {
				t.Fatalf("error without problem, fix or row: %+v", e)
			}
		}
	})
}

// A row that DecodeRows accepts is encoded to a row that decodes and encodes the same again.
func FuzzFromRows(f *testing.F) {
	f.Add("routes/a", `{"name":"a","match":{"path":"/a"},"deadline":"5s","worth":1,"class":"standard","stages":[]}`)
	f.Add("pools/p", `{"name":"p","kind":"service","slots":1,"servers":[{"name":"s","address":"10.0.0.1:1","domain":"d","region":"r"}]}`)
	f.Add("hosts/x", `{}`)
	f.Add("routes/a", `{"name":"a"}{}`)
	f.Fuzz(func(t *testing.T, key, data string) {
		tables, err := DecodeRows([]release.Row{{Key: key, Data: []byte(data)}})
		if err != nil {
			return
		}
		rows, err := EncodeRows(tables)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeRows([]release.Row{{Key: key, Data: rows[key]}})
		if err != nil {
			t.Fatalf("%s no longer decodes: %v", rows[key], err)
		}
		rowsAgain, err := EncodeRows(again)
		if err != nil || string(rowsAgain[key]) != string(rows[key]) {
			t.Fatalf("%s was encoded again as %s (%v)", rows[key], rowsAgain[key], err)
		}
	})
}
