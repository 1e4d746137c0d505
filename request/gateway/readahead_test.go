package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
)

// Load: clients that read slowly, of streams as long as usual ones and longer. Their servers are done
// before them where 64 KiB are enough, and what waits is bounded.
func TestStreamIsReadOnWhileItsClientIsSlow(t *testing.T) {
	for name, size := range map[string]int{"short": 48 << 10, "long": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				want := bytes.Repeat([]byte("id: 1\ndata: lye\n\n"), size/16)
				server, response := io.Pipe()
				var serverDone time.Time
				go func() {
					_, err := response.Write(want)
					g.Expect(err).NotTo(HaveOccurred())
					serverDone = time.Now()
					_ = response.Close() // always nil
				}()
				budget := newReadAheadBudget(0)
				r := newReadAhead(server, budget)
				began := time.Now()
				var got bytes.Buffer
				part := make([]byte, 2048)
				for {
					n, err := r.Read(part)
					got.Write(part[:n])
					if err == io.EOF {
						break
					}
					g.Expect(err).NotTo(HaveOccurred())
					r.writing()
					time.Sleep(time.Second) // the client takes so long
					r.written()
					g.Expect(budget.bytes.Load()).To(BeNumerically("<=", maxReadAheadBytes+readAheadPartBytes))
				}
				r.stop(func() { t.Error("a whole response is cancelled") })
				g.Expect(bytes.Equal(got.Bytes(), want)).To(BeTrue())
				g.Expect(budget.bytes.Load()).To(BeZero())
				if size <= maxReadAheadBytes {
					g.Expect(serverDone.Sub(began)).To(BeNumerically("<", time.Second))
				}
			})
		})
	}
}

// Guards against streams that wait for many clients and use up the memory together, and against one that
// never goes on as others have used it up.
func TestStreamsThatWaitShareTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := newReadAheadBudget(0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var streams []*readAhead
		for range 100 {
			server, response := io.Pipe()
			context.AfterFunc(ctx, func() { _ = server.CloseWithError(errors.New("cancelled")) })
			go func() { _, _ = response.Write(make([]byte, 1<<20)) }() // ends when the reader is closed
			r := newReadAhead(server, budget)
			r.writing()
			streams = append(streams, r)
		}
		time.Sleep(time.Minute)
		g.Expect(budget.bytes.Load()).To(BeNumerically(">", minReadAheadTotal/2))
		g.Expect(budget.bytes.Load()).To(BeNumerically("<=", minReadAheadTotal+100*readAheadPartBytes))
		last := streams[99]
		last.written()
		n, err := io.CopyN(io.Discard, last, 1<<19)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(1 << 19))
		for _, r := range streams {
			r.stop(cancel)
		}
		g.Expect(budget.bytes.Load()).To(BeZero())
	})
}

// The budget is used up by others while a client takes nothing, and given back later. Guards against a
// server that keeps a slot for a stream which is not read on, though there is room.
func TestStreamIsReadOnOnceOthersGiveMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server, response := io.Pipe()
		done := make(chan struct{})
		go func() {
			_, _ = response.Write(make([]byte, 48<<10)) // checked by what is read
			_ = response.Close()                        // always nil
			close(done)
		}()
		budget := newReadAheadBudget(0)
		budget.bytes.Add(budget.max)
		r := newReadAhead(server, budget)
		r.writing()
		time.Sleep(time.Second)
		g.Expect(done).NotTo(BeClosed())
		g.Expect(budget.bytes.Load()).To(BeEquivalentTo(budget.max + readAheadPartBytes))
		budget.bytes.Add(-budget.max)
		time.Sleep(time.Second)
		g.Expect(done).To(BeClosed())
		r.written()
		n, err := io.Copy(io.Discard, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(48 << 10))
		r.stop(func() { t.Error("a whole response is cancelled") })
	})
}

// readerBody is a body of a response from a reader.
type readerBody struct{ io.Reader }

func (readerBody) Close()   {}
func (readerBody) Discard() {}

// A server has sent its whole response, of which the client takes nothing. Guards against a server that gets
// no other request as it seems to be at work.
func TestServerIsFreeOnceItsStreamIsReadAhead(t *testing.T) {
	for name, end := range map[string]error{"in order": io.EOF, "broken off": io.ErrUnexpectedEOF} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dir := directory.New()
				dir.Replace([]directory.Entry{{ID: "a", Service: "s", Slots: 1}}, time.Now())
				s := dir.View().Server("a")
				s.InFlight.Add(1)
				body := io.MultiReader(bytes.NewReader(make([]byte, 48<<10)), iotest.ErrReader(end))
				a := &attempt{server: s, response: &upstream.Response{Body: readerBody{body}}, cancel: func() {}}
				r := newReadAhead(a, newReadAheadBudget(0))
				r.writing()
				time.Sleep(readAheadDelay / 2)
				g.Expect(s.InFlight.Load()).To(BeEquivalentTo(1))
				time.Sleep(time.Second)
				if end == io.EOF {
					g.Expect(s.InFlight.Load()).To(BeZero())
				} else {
					g.Expect(s.InFlight.Load()).To(BeEquivalentTo(1))
				}
				r.written()
				_, _ = io.Copy(io.Discard, r) // the error is end
				r.stop(func() {})
				a.close(true)
				g.Expect(s.InFlight.Load()).To(BeZero())
			})
		})
	}
}

// Load: many streams whose clients take nothing for a while, each in turn, and then read at once. Guards
// against memory that streams keep, beside the budget, until they end.
func TestDrainedStreamKeepsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server, response := io.Pipe()
		context.AfterFunc(ctx, func() { _ = server.CloseWithError(errors.New("cancelled")) })
		go func() { _, _ = response.Write(make([]byte, 48<<10)) }() // ends when the reader is closed
		budget := newReadAheadBudget(0)
		r := newReadAhead(server, budget)
		r.writing()
		time.Sleep(time.Second)
		r.written()
		g.Expect(r.waiting.Cap()).To(BeNumerically(">=", 48<<10))
		_, err := io.CopyN(io.Discard, r, 48<<10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(budget.bytes.Load()).To(BeZero())
		g.Expect(r.waiting.Cap()).To(BeZero())
		r.stop(cancel)
	})
}

// Guards against a goroutine per stream whose client reads at once.
func TestStreamOfAQuickClientIsNotReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newReadAhead(bytes.NewReader(make([]byte, 1<<20)), newReadAheadBudget(0))
		part := make([]byte, 2048)
		for {
			_, err := r.Read(part)
			if err == io.EOF {
				break
			}
			r.writing()
			time.Sleep(readAheadDelay / 2)
			r.written()
			time.Sleep(readAheadDelay) // the server's
		}
		g.Expect(r.started).To(BeFalse())
		r.stop(func() { t.Error("a whole response is cancelled") })
	})
}
