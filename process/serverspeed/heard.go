package serverspeed

// maxHeard is the number of other hosts whose measurements of a server are kept.
const maxHeard = 8

// heard is what another host has measured.
type heard struct {
	evidence
	origin uint32 // hash of the host's name
}
