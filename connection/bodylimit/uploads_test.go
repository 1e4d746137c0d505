package bodylimit

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// sender is a client that sends the content with a seed.
type sender struct {
	length         int64
	stopAfter      int64 // nothing comes after so many bytes
	bytesPerSecond float64
	partBytes      int

	sent        int64
	content     []byte
	once        sync.Once
	interrupted chan struct{}
}

func newSender(seed uint64, length, stopAfter int64, bytesPerSecond float64) *sender {
	return &sender{
		length: length, stopAfter: stopAfter, bytesPerSecond: bytesPerSecond, partBytes: 16 << 10,
		content: content(seed, length), interrupted: make(chan struct{}),
	}
}

// Read implements io.Reader.
func (s *sender) Read(b []byte) (int, error) {
	n := min(int64(len(b)), int64(s.partBytes), s.stopAfter-s.sent, s.length-s.sent)
	wait := time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second))
	if n == 0 {
		wait = time.Hour
	}
	select {
	case <-s.interrupted:
		return 0, errors.New("interrupted")
	case <-time.After(wait):
	}
	copy(b[:n], s.content[s.sent:])
	s.sent += n
	if s.sent == s.length {
		return int(n), io.EOF
	}
	return int(n), nil
}

// upload returns the body to be read, with or without its length.
func (s *sender) upload(timeout time.Duration, chunked bool) Upload {
	length := s.length
	if chunked {
		length = -1
	}
	return Upload{Body: s, Length: length, Limit: 4 << 20, Timeout: timeout, Interrupt: func() { s.once.Do(func() { close(s.interrupted) }) }}
}

// content returns the whole body of a sender with the seed. Blocks that change places change it.
func content(seed uint64, length int64) []byte {
	pattern := make([]byte, 4099) // a prime number
	for i := range pattern {
		pattern[i] = byte(i) ^ byte(i>>8) ^ byte(seed)
	}
	return bytes.Repeat(pattern, int(length)/len(pattern)+1)[:length]
}

const (
	mebibyte = 1 << 20
	// smallHost is the memory of the smallest process, slowLink 10 Mbit/s, fastLink a link
	// between data centers.
	smallHost = 184 * mebibyte
	slowLink  = 1.25e6
	fastLink  = 100e6
)

// Load: a hundred clients send 4 MiB and stop before the last byte, while a sound one in each second
// sends from 1 KiB to 4 MiB over a slow link. All sound ones are read in the memory that is set: within
// 15 s with a length, and within the usual 30 s of a request in chunks, which may all be of 4 MiB.
func TestSoundBodiesArriveBesideStalledOnes(t *testing.T) {
	for chunked, timeout := range map[bool]time.Duration{false: 15 * time.Second, true: 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			u := NewUploads(smallHost)
			var stalled, sound sync.WaitGroup
			for range 100 {
				stalled.Go(func() {
					_, err := u.Read(newSender(1, 4*mebibyte, 4*mebibyte-1, fastLink).upload(time.Minute, chunked))
					g.Expect(err).To(Or(MatchError(ErrStalled), MatchError(ErrLate), MatchError(ErrNoRoom)))
				})
			}
			for i, length := range []int64{1 << 10, 100 << 10, 4 * mebibyte, 700, mebibyte, 3 * mebibyte, 64 << 10, 4 * mebibyte, 8 << 10, 9 << 10} {
				time.Sleep(time.Second)
				sound.Go(func() {
					body, err := u.Read(newSender(uint64(i), length, length, slowLink).upload(timeout, chunked))
					g.Expect(err).NotTo(HaveOccurred(), "%d bytes, chunked: %t", length, chunked)
					g.Expect(bytes.Equal(body.Bytes(), content(uint64(i), length))).To(BeTrue())
					g.Expect(u.Stats().Bytes).To(BeNumerically("<=", smallHost/20))
					body.Release()
				})
			}
			sound.Wait()
			stalled.Wait()
			g.Expect(u.Stats().Bytes).To(BeZero())
			g.Expect(u.Stats().GivenUp).To(BeNumerically(">", 0))
			g.Expect(u.uploads).To(BeEmpty())
		})
	}
}

// Load: a hundred sound clients send 4 MiB over slow links at once. None is given up: those that do not fit yet
// wait, and as each is served in 50 ms, all are read within three minutes: at least two at a time.
func TestSoundBodiesBeyondTheMemoryWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := NewUploads(smallHost)
		var group sync.WaitGroup
		for i := range 100 {
			group.Go(func() {
				body, err := u.Read(newSender(uint64(i), 4*mebibyte, 4*mebibyte, slowLink).upload(3*time.Minute, false))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(50 * time.Millisecond)
				body.Release()
			})
		}
		group.Wait()
		g.Expect(u.Stats().GivenUp).To(BeZero())
		g.Expect(u.Stats().Bytes).To(BeZero())
	})
}

// Load: twice as many uploads as may wait come while others fill the memory. Guards against memory without a
// bound: the beginning of each that waits is held, and not counted.
func TestUploadsThatWaitAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := NewUploads(smallHost)
		u.total = u.max // by bodies in service
		began := time.Now()
		refused := 0
		var group sync.WaitGroup
		var mu sync.Mutex // guards refused
		for range 2 * maxWaitingUploads {
			group.Go(func() {
				_, err := u.Read(newSender(1, 64<<10, 64<<10, fastLink).upload(10*time.Second, false))
				g.Expect(err).To(MatchError(ErrNoRoom))
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) < time.Second {
					refused++
				}
			})
		}
		time.Sleep(5 * time.Second)
		g.Expect(u.Stats().Waiting).To(Equal(maxWaitingUploads))
		group.Wait()
		g.Expect(refused).To(Equal(maxWaitingUploads))
		g.Expect(u.Stats().NoRoom).To(BeEquivalentTo(2 * maxWaitingUploads))
		g.Expect(u.uploads).To(BeEmpty())
	})
}

// The process is suspended for some seconds while a body arrives that another one waits for. Guards against
// giving up a sound body as stalled before what has come meanwhile is read.
func TestSuspensionIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // so that the recheck does not come by itself
		g := NewWithT(t)
		u := NewUploads(smallHost)
		now := time.Now()
		arriving := u.begin(mebibyte, Upload{Length: mebibyte, Limit: mebibyte, Interrupt: func() {}})
		u.take(arriving, u.max-1)
		arriving.need = 1
		waiting := u.begin(mebibyte, Upload{Length: mebibyte, Limit: mebibyte})
		waiting.wants, waiting.waitBegan, waiting.granted = blockBytes, now, make(chan struct{})
		u.waiting = append(u.waiting, waiting)
		look := func(after time.Duration) bool {
			now = now.Add(after)
			u.dispatch(now)
			return arriving.givenUp
		}
		g.Expect(look(0)).To(BeFalse())
		g.Expect(look(recheckInterval)).To(BeFalse())
		g.Expect(look(5*time.Second)).To(BeFalse(), "suspended")
		g.Expect(look(recheckInterval)).To(BeFalse())
		for at := time.Duration(0); at < stallTime; at += recheckInterval {
			look(recheckInterval)
		}
		g.Expect(arriving.givenUp).To(BeTrue(), "stalled")
		u.recheck.Stop()
	})
}

// Guards against giving up a slow client where nobody needs its memory, and against one that holds a
// request past its time.
func TestStalledBodyAloneLastsToItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := NewUploads(smallHost)
		began := time.Now()
		_, err := u.Read(newSender(1, 4*mebibyte, mebibyte, fastLink).upload(9*time.Second, false))
		g.Expect(err).To(MatchError(ErrLate))
		g.Expect(time.Since(began)).To(Equal(9 * time.Second))
		_, err = u.Read(newSender(1, 1000, 999, fastLink).upload(9*time.Second, false))
		g.Expect(err).To(MatchError(ErrLate), "a small one")
		g.Expect(u.Stats().Bytes).To(BeZero())
	})
}

// Guards against bodies of requests in service that are given up, or not counted: the memory is theirs
// until they are released, and who finds none is told so.
func TestBodiesInServiceKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		u := NewUploads(smallHost)
		var held []*Body
		for range 2 {
			body, err := u.Read(newSender(1, 4*mebibyte, 4*mebibyte, fastLink).upload(time.Second, false))
			g.Expect(err).NotTo(HaveOccurred())
			held = append(held, body)
		}
		time.Sleep(time.Minute)
		_, err := u.Read(newSender(2, 4*mebibyte, 4*mebibyte, fastLink).upload(3*time.Second, false))
		g.Expect(err).To(MatchError(ErrNoRoom))
		g.Expect(u.Stats().GivenUp).To(BeZero())
		g.Expect(u.Stats().NoRoom).To(BeEquivalentTo(1))
		held[0].Release()
		held[0].Release()
		_, err = u.Read(newSender(2, 4*mebibyte, 4*mebibyte, fastLink).upload(3*time.Second, false))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a limit that a sound body does not pass, with and without a length.
func TestUploadAtTheLimitIsReadWhole(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int64{1, 511, firstBlockBytes, freeUploadBytes, freeUploadBytes + 1, 8*mebibyte - 1, 8 * mebibyte} {
		want := content(3, size)
		for _, length := range []int64{size, -1} {
			u := NewUploads(1)
			body, err := u.Read(Upload{Body: bytes.NewReader(want), Length: length, Limit: size, Timeout: time.Minute, Interrupt: func() {}})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(body.Bytes(), want)).To(BeTrue())
			body.Release()
			_, err = u.Read(Upload{Body: bytes.NewReader(want), Length: length, Limit: size - 1, Timeout: time.Minute, Interrupt: func() {}})
			g.Expect(err).To(MatchError(ErrTooLarge))
			g.Expect(u.Stats().Bytes).To(BeZero())
		}
	}
}

func BenchmarkUpload(b *testing.B) {
	for name, size := range map[string]int{"800 B": 800, "64 KiB": 64 << 10, "4 MiB": 4 << 20} {
		data := make([]byte, size)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			u := NewUploads(smallHost)
			for b.Loop() {
				body, err := u.Read(Upload{Body: &eofReader{data}, Length: int64(size), Limit: 4 << 20, Timeout: time.Minute, Interrupt: func() {}})
				if err != nil {
					b.Fatal(err)
				}
				body.Release()
			}
		})
		b.Run(name+", io.ReadAll", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.ReadAll(io.LimitReader(&eofReader{data}, 4<<20+1)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// eofReader returns io.EOF with its last bytes, as the body of a request does.
type eofReader struct{ data []byte }

// Read implements io.Reader.
func (r *eofReader) Read(b []byte) (int, error) {
	n := copy(b, r.data)
	if r.data = r.data[n:]; len(r.data) == 0 {
		return n, io.EOF
	}
	return n, nil
}
