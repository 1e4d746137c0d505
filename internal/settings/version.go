package settings

import "runtime/debug"

// revisionDigits is the number of digits of the revision in a version. They
// are enough to identify it.
const revisionDigits = 12

// Version returns the version of this build: that of the module and, if the
// toolchain recorded it, the VCS revision.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, revision, modified := info.Main.Version, "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = " " + s.Value[:min(revisionDigits, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				modified = " with local changes"
			}
		}
	}
	return version + revision + modified
}
