package settings

import "runtime/debug"

// shortRevision is enough of a revision's digits to find it.
const shortRevision = 12

// Version names the build: the module's version, and the revision it was built
// from where the toolchain recorded one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, revision, changed := info.Main.Version, "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = " " + s.Value[:min(shortRevision, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				changed = " with local changes"
			}
		}
	}
	return version + revision + changed
}
