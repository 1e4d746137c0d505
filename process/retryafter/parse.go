package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxDelay bounds the time that a response can ask for. No server means longer ones, and a server
// that starts again is not bound by what it asked for before.
const maxDelay = 24 * time.Hour

// FromResponse returns how long a server wants no requests from the receiver of its response: what
// the Retry-After header of a response with status 503 says, at most maxDelay. 0: it says nothing.
// With several headers the longest time counts. receivedAt is a time of the wall clock.
//
// A 429 limits a client account and not the receiver, and in a 3xx the header is about the new
// location.
func FromResponse(status int, h http.Header, receivedAt time.Time) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	var longest time.Duration
	for _, text := range h["Retry-After"] {
		longest = max(longest, parse(strings.TrimSpace(text), h, receivedAt))
	}
	return min(longest, maxDelay)
}

// parse returns the time in a Retry-After header, 0 if it is malformed or not positive.
func parse(text string, h http.Header, receivedAt time.Time) time.Duration {
	if date, err := http.ParseTime(text); err == nil {
		// By the server's clock, if it tells that: the receiver's may differ.
		if sentAt, err := http.ParseTime(h.Get("Date")); err == nil {
			return max(date.Sub(sentAt), 0)
		}
		return max(date.Sub(receivedAt), 0)
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0 // ParseFloat accepts other forms, too
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(math.Min(seconds, maxDelay.Seconds()) * float64(time.Second))
}
