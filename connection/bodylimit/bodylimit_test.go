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

const progressInterval = 250 * time.Millisecond

// zeros is an endless body, of which a read returns at most step bytes.
type zeros struct {
	step    int
	stopped chan struct{} // closed by cancel
	once    sync.Once
}

func (z *zeros) Read(b []byte) (int, error) {
	select {
	case <-z.stopped:
		return 0, errors.New("cancelled")
	default:
		return min(len(b), z.step), nil
	}
}

func (z *zeros) cancel() { z.once.Do(func() { close(z.stopped) }) }

// Guards against a bound that a sound answer does not pass.
func TestBodyAtTheBoundIsReadWhole(t *testing.T) {
	g := NewWithT(t)
	want := bytes.Repeat([]byte("lye"), MaxBytes/3+1)[:MaxBytes]
	b := NewBudget(0)
	data, err := b.ReadAll(bytes.NewReader(want), 0, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data.size).To(BeEquivalentTo(len(want)))
	g.Expect(bytes.Equal(data.Bytes(), want)).To(BeTrue())
	_, err = b.ReadAll(bytes.NewReader(append(want, 'x')), 0, func() {})
	g.Expect(err).To(MatchError(ContainSubstring("over 16777216 bytes")))
	g.Expect(b.total).To(BeZero())
	g.Expect(b.bodies).To(BeEmpty())
}

// Guards against memory that many answers without end use up together, and against sound ones
// that are given up beside them.
func TestBodiesWithoutEndShareTheirMemory(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(0)
	var group sync.WaitGroup
	errs := make(chan error, 100)
	for range 100 {
		z := &zeros{step: 8 << 10, stopped: make(chan struct{})}
		group.Go(func() {
			_, err := b.ReadAll(z, 0, z.cancel)
			errs <- err
		})
	}
	for range 1000 {
		data, err := b.ReadAll(bytes.NewReader(make([]byte, freeBytes)), 0, func() {})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(data.size).To(BeEquivalentTo(freeBytes))
		b.mu.Lock()
		g.Expect(b.total).To(BeNumerically("<=", maxTotalBytes))
		b.mu.Unlock()
	}
	group.Wait()
	for range 100 {
		g.Expect(<-errs).To(HaveOccurred())
	}
	g.Expect(b.total).To(BeZero())
}

// Guards against a trickle that holds a request until its deadline, and against giving up a body that
// comes slowly.
func TestBodyWithoutProgressIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		bytes  int
		sound  bool
		silent bool
	}{"a trickle": {bytes: 1}, "silence": {silent: true}, "slow": {bytes: MinProgressBytes, sound: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, w := io.Pipe()
				var sender sync.WaitGroup
				defer sender.Wait()
				sender.Go(func() {
					for range 30 {
						time.Sleep(progressInterval * 3 / 4)
						if c.silent {
							continue
						}
						if _, err := w.Write(make([]byte, c.bytes)); err != nil {
							return
						}
					}
					_ = w.Close() // the reader may have closed it
				})
				data, err := NewBudget(0).ReadAll(r, progressInterval, func() { _ = r.CloseWithError(errors.New("cancelled")) })
				if c.sound {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(data.size).To(BeEquivalentTo(30 * c.bytes))
					return
				}
				g.Expect(err).To(MatchError(ContainSubstring("of the answer came within")))
			})
		})
	}
}
