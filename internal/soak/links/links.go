// Package links is the file by which the soak test tells a daemon how its links to backend servers
// are.
package links

import (
	"encoding/json"
	"os"
)

// FileEnvVar is the environment variable with the path of the file.
const FileEnvVar = "SOAK_LINKS"

// Cut is how new connections to all servers fail.
type Cut string

// Values of Cut.
const (
	None    Cut = ""
	Hangs   Cut = "hangs"
	Refuses Cut = "refuses"
)

// Links are the links of one host.
type Links struct {
	Cut    Cut               `json:"cut"`
	Relays map[string]string `json:"relays"` // address of the host's relay, by that of the server
}

// Read reads the file.
func Read(path string) (Links, error) {
	var l Links
	data, err := os.ReadFile(path)
	if err != nil {
		return l, err
	}
	return l, json.Unmarshal(data, &l)
}

// Write replaces the file in one step.
func Write(path string, l Links) error {
	data, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
