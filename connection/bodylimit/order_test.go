package bodylimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against giving up a body that comes, or is about to be whole, beside one that makes no progress.
func TestLeastHopefulTransferIsGivenUpFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(age, silence time.Duration, bytes int64) transfer {
		return transfer{began: now.Add(-age), progressAt: now.Add(-silence), bytes: bytes}
	}
	for name, c := range map[string]struct {
		transfers []transfer
		want      int
	}{
		"none":                        {nil, -1},
		"all make progress":           {[]transfer{at(3*time.Second, 10*time.Millisecond, 4<<20), at(time.Second, 0, 100)}, -1},
		"a lost packet is awaited":    {[]transfer{at(time.Second, 400*time.Millisecond, 1<<20)}, -1},
		"the stalled one":             {[]transfer{at(9*time.Second, 0, 4<<20), at(3*time.Second, stallTime, 4<<20-1)}, 1},
		"the longest stalled one":     {[]transfer{at(9*time.Second, 2*time.Second, 10), at(9*time.Second, 3*time.Second, 4<<20)}, 1},
		"stalled before slow":         {[]transfer{at(9*time.Second, 0, 10), at(9*time.Second, stallTime, 4<<20)}, 1},
		"the slowest":                 {[]transfer{at(9*time.Second, 0, 90<<10), at(9*time.Second, 0, 9<<10), at(9*time.Second, 0, 9<<20)}, 1},
		"one that has only begun":     {[]transfer{at(1900*time.Millisecond, 0, 1)}, -1},
		"a slow link: 4 MiB in 3.4 s": {[]transfer{at(3400*time.Millisecond, 50*time.Millisecond, 4<<20)}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(leastHopeful(c.transfers, now)).To(Equal(c.want))
		})
	}
}

// Guards against bodies that wait for each other: whoever gets room while the state stays safe, one of
// them can always go on, and all become whole.
func TestSafeGrantsLetAllBodiesBecomeWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 100
		needs := rapid.SliceOfN(rapid.Int64Range(1, size), 1, 12).Draw(t, "needs")
		claims := make([]claim, len(needs))
		for i, n := range needs {
			claims[i].need = n
		}
		free := int64(size)
		for whole := 0; whole < len(claims); {
			var able []int
			for i, c := range claims {
				n := min(c.need, 7)
				after := append([]claim(nil), claims...)
				after[i] = claim{c.held + n, c.need - n}
				if n > 0 && n <= free && safe(free-n, after) {
					able = append(able, i)
				}
			}
			if len(able) == 0 {
				t.Fatalf("nobody can go on: %d free of %v", free, claims)
			}
			i := rapid.SampledFrom(able).Draw(t, "next")
			n := min(claims[i].need, 7)
			free -= n
			claims[i] = claim{claims[i].held + n, claims[i].need - n}
			if claims[i].need == 0 {
				free += claims[i].held
				claims[i].held = 0
				whole++
			}
		}
	})
}
