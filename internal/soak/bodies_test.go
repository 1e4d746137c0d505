package soak

import (
	"hash/fnv"
	"net/http"
	"strings"

	"bilberrydale/platform/platformtest"
)

// setUnframed lets the answers of a server have neither a length nor chunks, or ends that.
func (env *environment) setUnframed(b *backendServer, unframed bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	b.unframed = unframed
}

// brokenShare is one in how many answers without a length breaks off.
const brokenShare = 4

// shortestEvent is the length of the shortest event, in bytes.
const shortestEvent = len("id: 1\ndata: piece 1\n\n")

// respondUnframed answers without a length or chunks if the server does so now. Some answers break
// off: streams inside an event or by a reset, others by a reset.
func (env *environment) respondUnframed(b *backendServer, id string, w http.ResponseWriter, req *http.Request) bool {
	env.mu.Lock()
	unframed := b.unframed
	env.mu.Unlock()
	version, _ := b.Version()
	if !unframed {
		return false
	}
	hash := hashOf(id, b.ID)
	broken := hash%brokenShare == 0
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		body := "answer to " + id
		if broken {
			body = body[:len(body)/2]
		}
		b.RespondUntilClose(w, body, broken)
		return true
	}
	var events strings.Builder
	for i := platformtest.LastEventID(req) + 1; i <= streamEvents; i++ {
		events.WriteString(platformtest.Event(version, i))
	}
	body := events.String()
	if broken {
		body = body[:max(len(body)-1-int(hash/brokenShare)%(shortestEvent-1), 0)]
	}
	b.RespondUntilClose(w, body, broken && hash%(2*brokenShare) == 0)
	return true
}

// hashOf returns a hash of texts, by which servers decide alike in each run with a seed.
func hashOf(texts ...string) uint32 {
	h := fnv.New32a()
	for _, t := range texts {
		_, _ = h.Write([]byte(t)) // never fails
	}
	return h.Sum32()
}
