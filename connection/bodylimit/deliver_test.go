package bodylimit

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// receiver is a client that reads an answer.
type receiver struct {
	bytesPerSecond float64 // 0: it reads nothing
	received       bytes.Buffer
	interrupted    chan struct{}
	once           sync.Once
}

func newReceiver(bytesPerSecond float64) *receiver {
	return &receiver{bytesPerSecond: bytesPerSecond, interrupted: make(chan struct{})}
}

// Write implements io.Writer.
func (r *receiver) Write(b []byte) (int, error) {
	wait := time.Hour
	if r.bytesPerSecond > 0 {
		wait = time.Duration(float64(len(b)) / r.bytesPerSecond * float64(time.Second))
	}
	select {
	case <-r.interrupted:
		return 0, errors.New("interrupted")
	case <-time.After(wait):
		return r.received.Write(b)
	}
}

func (r *receiver) interrupt() { r.once.Do(func() { close(r.interrupted) }) }

// Load: five clients a second, a hundred in all, ask for 4 MiB and read nothing, while one every other second
// reads 1 MiB over a slow link. The memory is bounded, and all who read get their answers.
func TestUnreadAnswersLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(smallHost)
		unread, want := content(5, 4*mebibyte), content(6, mebibyte)
		var group sync.WaitGroup
		for i := range 110 {
			sound := i%11 == 0
			group.Go(func() {
				answer := unread
				if sound {
					answer = want
				}
				body, err := b.Read(bytes.NewReader(answer), 0, func() {})
				if !sound && err != nil {
					return // its client would not have read it
				}
				g.Expect(err).NotTo(HaveOccurred())
				defer body.Release()
				g.Expect(b.Stats().Bytes).To(BeNumerically("<=", maxTotalBytes))
				if !sound {
					r := newReceiver(0)
					g.Expect(body.Deliver(r, r.interrupt)).To(MatchError(ErrUnread))
					return
				}
				r := newReceiver(slowLink)
				g.Expect(body.Deliver(r, r.interrupt)).To(Succeed())
				g.Expect(bytes.Equal(r.received.Bytes(), want)).To(BeTrue())
			})
			time.Sleep(200 * time.Millisecond)
		}
		group.Wait()
		g.Expect(b.Stats().Bytes).To(BeZero())
		g.Expect(b.Stats().Unread).To(BeNumerically(">", 0))
	})
}

// Guards against an answer that is kept for ever for a client that does not read it, and against
// breaking off one that is read slowly, as long as nobody needs the memory.
func TestUnreadAnswerAloneIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(0)
		deliver := func(r *receiver) error {
			body, err := b.Read(bytes.NewReader(content(5, mebibyte)), 0, func() {})
			g.Expect(err).NotTo(HaveOccurred())
			defer body.Release()
			return body.Deliver(r, r.interrupt)
		}
		began := time.Now()
		g.Expect(deliver(newReceiver(0))).To(MatchError(ErrUnread))
		g.Expect(time.Since(began)).To(Equal(maxUnreadTime))
		g.Expect(deliver(newReceiver(2 << 10))).To(Succeed())
		g.Expect(b.Stats().Unread).To(BeZero())
		g.Expect(b.Stats().Bytes).To(BeZero())
	})
}

// lateReceiver takes a part just as it is interrupted, and none after it.
type lateReceiver struct{ *receiver }

// Write implements io.Writer.
func (r lateReceiver) Write(b []byte) (int, error) {
	select {
	case <-r.interrupted:
		return 0, errors.New("interrupted")
	default:
		<-r.interrupted
		return len(b), nil
	}
}

// A client takes a part just as its time ends. Guards against an error of the connection in place of the
// reason, and against an answer that can still be given up after its delivery.
func TestProgressAtTheEndOfTheTimeIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		body, err := NewBudget(0).Read(bytes.NewReader(content(5, mebibyte)), 0, func() {})
		g.Expect(err).NotTo(HaveOccurred())
		defer body.Release()
		r := newReceiver(0)
		g.Expect(body.Deliver(lateReceiver{r}, r.interrupt)).To(MatchError(ErrUnread))
		g.Expect(body.reader.delivering).To(BeFalse())
	})
}
