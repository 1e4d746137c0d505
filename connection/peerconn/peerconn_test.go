package peerconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

var (
	ada = peer.Identity{Host: "ada", Incarnation: 1, Domain: "d1", Region: "r1", Address: "127.0.0.1:1"}
	bo  = peer.Identity{Host: "bo", Incarnation: 2, Domain: "d1", Region: "r1", Address: "127.0.0.1:2"}
)

func options(self peer.Identity, secret string) Options {
	return Options{Self: self, Secret: []byte(secret), PingInterval: 20 * time.Millisecond}
}

func echo(_ context.Context, from peer.Identity, m peer.Method, payload []byte) ([]byte, error) {
	switch m {
	case "fail":
		return nil, errors.New("no such release")
	case "panic":
		panic("bug in a handler")
	}
	return append([]byte(from.Host+":"), payload...), nil
}

// listener gives the server's end of each proven connection.
func listener(t *testing.T, opts Options, serve peer.Dispatch) (string, chan peer.Conn, chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	conns, refused := make(chan peer.Conn, 16), make(chan error, 256)
	s := &Server{
		Options: opts, Dispatch: serve,
		OnAccept: func(c peer.Conn) { conns <- c },
		OnReject: func(_ string, cause error) { refused <- cause },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String(), conns, refused
}

func TestBothEndsCallEachOther(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	address, conns, _ := listener(t, options(bo, "s"), echo)
	c, err := Dial(ctx, address, options(ada, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.Peer()).To(Equal(bo))
	g.Expect(c.Call(ctx, "echo", []byte("x"))).To(BeEquivalentTo("ada:x"))
	other := <-conns
	g.Expect(other.Peer()).To(Equal(ada))
	g.Expect(other.Call(ctx, "echo", []byte("y"))).To(BeEquivalentTo("bo:y"))
	for _, m := range []peer.Method{"fail", "panic"} {
		_, err = c.Call(ctx, m, nil)
		g.Expect(err).To(MatchError(peer.ErrRefused), string(m))
	}
}

// A stranger, or a host of another deployment, connects to the peer port. If
// its frames counted, it could announce releases and suspects. It proves the
// wrong secret and gets the connection closed before any handler runs.
func TestWrongSecretIsRefusedBeforeAnyFrameCounts(t *testing.T) {
	g := NewWithT(t)
	ran := make(chan struct{}, 1)
	address, conns, refused := listener(t, options(bo, "right"), func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
		ran <- struct{}{}
		return nil, nil
	})
	_, err := Dial(context.Background(), address, options(ada, "wrong"), echo)
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-refused).To(MatchError(ErrUnauthenticated))
	g.Expect(ran).To(BeEmpty())
	g.Expect(conns).To(BeEmpty())
}

// A stranger that does not know the secret sends the acceptor's own proof or
// an earlier dialer's back. Proofs cover the roles, both identities and both
// nonces, so none of them fits.
func TestProofsFitOneConnectionOneRoleAndOneIdentity(t *testing.T) {
	g := NewWithT(t)
	secret := []byte("s")
	tr := transcript{dialer: newGreeting(ada), acceptor: newGreeting(bo)}
	mac, err := tr.mac(secret, roleDialer)
	g.Expect(err).NotTo(HaveOccurred())
	reflected, _ := tr.mac(secret, roleAcceptor)
	g.Expect(reflected).NotTo(Equal(mac))
	replayed := tr
	replayed.acceptor = newGreeting(bo)
	again, _ := replayed.mac(secret, roleDialer)
	g.Expect(again).NotTo(Equal(mac))
	lent := tr
	lent.dialer.Identity.Host = "eve"
	other, _ := lent.mac(secret, roleDialer)
	g.Expect(other).NotTo(Equal(mac))
}

// Something between the two ends forgets the connection: both sides keep it
// open and nothing arrives any more. The call must not wait for its deadline
// of a minute; the silence limit ends the connection, and the error says that
// the peer may have received the call.
func TestForgottenConnectionEndsAsSilent(t *testing.T) {
	g := NewWithT(t)
	far := options(bo, "s")
	far.ReadTimeout = time.Minute // else the far end may give up first and its close arrive as EOF
	address, _, _ := listener(t, far, echo)
	toServer, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	dead := &swallowing{Conn: toServer, quiet: make(chan struct{})}
	opts := options(ada, "s").withDefaults()
	opts.ReadTimeout = 200 * time.Millisecond
	c, err := open(dead, opts, echo, dialHandshake)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Call(context.Background(), "echo", nil)).To(BeEquivalentTo("ada:"))
	close(dead.quiet)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = c.Call(ctx, "echo", nil)
	g.Expect(err).To(MatchError(peer.ErrNoResponse))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(c.Err()).To(MatchError(ErrUnresponsive))
	_, err = c.Call(ctx, "echo", nil)
	g.Expect(err).To(MatchError(peer.ErrUnreachable))
}

// swallowing loses every byte both ways once quiet is closed, without an
// error, as a middlebox that lost track of the connection does.
type swallowing struct {
	net.Conn
	quiet chan struct{}
}

func (s *swallowing) Write(b []byte) (int, error) {
	select {
	case <-s.quiet:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

func (s *swallowing) Read(b []byte) (int, error) {
	for {
		n, err := s.Conn.Read(b)
		select {
		case <-s.quiet:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// An answer arrives after its caller gave up. It must not become the answer of
// a later call: ids are never used twice and an unknown one is dropped.
func TestLateAnswerIsDropped(t *testing.T) {
	g := NewWithT(t)
	release, began := make(chan struct{}), make(chan struct{})
	address, _, _ := listener(t, options(bo, "s"), func(_ context.Context, _ peer.Identity, m peer.Method, _ []byte) ([]byte, error) {
		if m == "slow" {
			close(began)
			<-release
		}
		return []byte(m), nil
	})
	c, err := Dial(context.Background(), address, options(ada, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, err = c.Call(ctx, "slow", nil)
	g.Expect(err).To(MatchError(peer.ErrNoResponse))
	close(release)
	g.Expect(c.Call(context.Background(), "quick", nil)).To(BeEquivalentTo("quick"))
	g.Eventually(c.DroppedResponses, 10*time.Second).Should(BeEquivalentTo(1))
}

// One peer floods another with calls that hang. Handlers are bounded; the
// calls over the bound are refused at once and the connection stays alive.
func TestCallsOverTheBoundAreRefused(t *testing.T) {
	g := NewWithT(t)
	release, began := make(chan struct{}), make(chan struct{}, 4)
	opts := options(bo, "s")
	opts.MaxHandlers = 1
	address, _, _ := listener(t, opts, func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
		began <- struct{}{}
		<-release
		return nil, nil
	})
	c, err := Dial(context.Background(), address, options(ada, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	first := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), "hang", nil)
		first <- err
	}()
	<-began
	_, err = c.Call(context.Background(), "hang", nil)
	g.Expect(err).To(MatchError(peer.ErrRefused))
	close(release)
	g.Expect(<-first).NotTo(HaveOccurred())
}

func TestTooLargeFrames(t *testing.T) {
	g := NewWithT(t)
	opts := options(ada, "s")
	opts.MaxFrameBytes = 1024
	address, _, _ := listener(t, options(bo, "s"), func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
		return make([]byte, 4096), nil
	})
	c, err := Dial(context.Background(), address, opts, echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.Call(context.Background(), "big", make([]byte, 4096))
	g.Expect(err).To(MatchError(peer.ErrUnreachable), "nothing was sent")
	_, err = c.Call(context.Background(), "big", nil)
	g.Expect(err).To(MatchError(peer.ErrNoResponse))
	g.Expect(c.Err()).To(MatchError(ErrFrameTooLarge))
}

func TestIdleConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	opts := options(ada, "s")
	opts.IdleTimeout = 50 * time.Millisecond
	address, _, _ := listener(t, options(bo, "s"), echo)
	c, err := Dial(context.Background(), address, opts, echo)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.Done(), 10*time.Second).Should(BeClosed())
	g.Expect(c.Err()).To(MatchError(ErrIdle))
}

// Strangers open connections to the peer port and say nothing, more than the
// port keeps unproven at once. They are dropped after the handshake's time, so
// a real peer gets in again.
func TestSilentStrangersDoNotKeepPeersOut(t *testing.T) {
	g := NewWithT(t)
	opts := options(bo, "s")
	opts.HandshakeTimeout = 100 * time.Millisecond
	address, _, _ := listener(t, opts, echo)
	for range maxUnproven + 10 {
		stranger, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer stranger.Close()
	}
	g.Eventually(func() error {
		c, err := Dial(context.Background(), address, options(ada, "s"), echo)
		if err == nil {
			c.Close()
		}
		return err
	}, 10*time.Second).Should(Succeed())
}

// A peer's process is stopped. Its kernel still opens the connection and nobody
// answers the handshake. The caller's deadline ends the wait, not the longer
// limit of a handshake: a host's judgement would be late by that much.
func TestDialEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	opts := options(ada, "s")
	opts.HandshakeTimeout = time.Hour
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := Dial(ctx, l.Addr().String(), opts, echo)
		done <- err
	}()
	g.Eventually(done, 10*time.Second).Should(Receive(HaveOccurred()))
}

// FuzzGreeting feeds the acceptor what a stranger may send: it must neither
// panic nor take anybody for proven who does not know the secret.
func FuzzGreeting(f *testing.F) {
	var hello bytes.Buffer
	g := newGreeting(ada)
	if err := send(&hello, &g); err != nil {
		f.Fatal(err)
	}
	f.Add(hello.Bytes())
	if err := send(&hello, &proof{MAC: make([]byte, 32)}); err != nil {
		f.Fatal(err)
	}
	f.Add(hello.Bytes())
	f.Add([]byte{0, 0, 4, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var out bytes.Buffer
		rw := struct {
			io.Reader
			io.Writer
		}{bytes.NewReader(data), &out}
		if id, err := acceptHandshake(rw, bo, []byte("a secret that no input knows")); err == nil {
			t.Fatalf("%+v was taken for proven", id)
		}
	})
}

// FuzzFrame feeds the decoder what a broken or hostile peer may send: it must
// return an error or a frame that encodes again, and take no more memory than
// the limit.
func FuzzFrame(f *testing.F) {
	const limit = 1 << 12
	for _, fr := range []*frame{{Kind: framePing}, {Kind: frameRequest, ID: 7, Method: "m", Millis: 9, Body: []byte("abc")}} {
		data, _ := encodeFrame(fr, limit)
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 6, 0x95, 1, 0xc6, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		block, err := readBlock(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		fr, err := decodeFrame(block)
		if err != nil {
			return
		}
		if len(fr.Body) > limit {
			t.Fatalf("body of %d bytes from a block of %d", len(fr.Body), len(block))
		}
		if _, err := encodeFrame(fr, 2*limit); err != nil {
			t.Fatal(err)
		}
	})
}
