package table

import (
	"os"
	"strings"
	"testing"

	"bilberrydale/process/release"
)

// Whatever bytes a file holds, Parse answers with tables that validate or with
// faults that each name a fix; it neither panics nor accepts unsound tables.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../../examples/kalahari/routes.yaml", "../../examples/kalahari/pools.yaml"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(faultyRoutes))
	f.Add([]byte(faultyPools))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, err := Parse([]File{{"a.yaml", data}})
		if err == nil {
			if err := Validate(tables); err != nil {
				t.Fatalf("accepted and not sound: %v", err)
			}
			return
		}
		faults, ok := err.(ValidationErrors) //nolint:errorlint // Parse returns nothing else
		if !ok {
			t.Fatalf("not a list of faults: %v", err)
		}
		for _, x := range faults {
			if x.Problem == "" || x.Fix == "" || x.Row == "" || strings.HasPrefix(x.Row, ".") {
				t.Fatalf("fault without its place or fix: %+v", x)
			}
		}
	})
}

// A row that FromRows accepts encodes to the same row again.
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
		second, err := EncodeRows(again)
		if err != nil || string(second[key]) != string(rows[key]) {
			t.Fatalf("%s became %s (%v)", rows[key], second[key], err)
		}
	})
}
