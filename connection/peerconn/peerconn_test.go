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
	hostA = peer.Identity{Host: "ada", Incarnation: 1, Domain: "d1", Region: "r1", Address: "127.0.0.1:1"}
	hostB = peer.Identity{Host: "bo", Incarnation: 2, Domain: "d1", Region: "r1", Address: "127.0.0.1:2"}
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

// startServer runs a server and returns its address, its ends of authenticated connections and
// the causes of rejected ones.
func startServer(t *testing.T, opts Options, dispatch peer.Dispatch) (string, chan peer.Conn, chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	conns, rejected := make(chan peer.Conn, 16), make(chan error, 256)
	s := &Server{
		Options: opts, Dispatch: dispatch,
		OnAccept: func(c peer.Conn) { conns <- c },
		OnReject: func(_ string, cause error) { rejected <- cause },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String(), conns, rejected
}

func TestBothEndsCallEachOther(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	address, conns, _ := startServer(t, options(hostB, "s"), echo)
	c, err := Dial(ctx, address, options(hostA, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.Peer()).To(Equal(hostB))
	g.Expect(c.Call(ctx, "echo", []byte("x"))).To(BeEquivalentTo("ada:x"))
	accepted := <-conns
	g.Expect(accepted.Peer()).To(Equal(hostA))
	g.Expect(accepted.Call(ctx, "echo", []byte("y"))).To(BeEquivalentTo("bo:y"))
	for _, m := range []peer.Method{"fail", "panic"} {
		_, err = c.Call(ctx, m, nil)
		g.Expect(err).To(MatchError(peer.ErrFailureResponse), string(m))
	}
}

// Anybody, or a host of another deployment, can connect to the peer port. If its calls were
// executed, it could announce releases and quarantine suspects. The handshake with a wrong
// secret must fail before any handler runs.
func TestWrongSecretIsRejectedBeforeAnyCall(t *testing.T) {
	g := NewWithT(t)
	handled := make(chan struct{}, 1)
	address, conns, rejected := startServer(t, options(hostB, "right"), func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
		handled <- struct{}{}
		return nil, nil
	})
	_, err := Dial(context.Background(), address, options(hostA, "wrong"), echo)
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-rejected).To(MatchError(ErrUnauthenticated))
	g.Expect(handled).To(BeEmpty())
	g.Expect(conns).To(BeEmpty())
}

// An attacker without the secret sends the acceptor's own proof, or the proof of an earlier
// dialer, back. Neither is valid, because a proof covers the role, both identities and both
// nonces.
func TestProofsAreBoundToConnectionRoleAndIdentity(t *testing.T) {
	g := NewWithT(t)
	secret := []byte("s")
	tr := transcript{dialer: newGreeting(hostA), acceptor: newGreeting(hostB)}
	mac, err := tr.mac(secret, roleDialer)
	g.Expect(err).NotTo(HaveOccurred())
	reflected, _ := tr.mac(secret, roleAcceptor)
	g.Expect(reflected).NotTo(Equal(mac))
	replayed := tr
	replayed.acceptor = newGreeting(hostB)
	withNewNonce, _ := replayed.mac(secret, roleDialer)
	g.Expect(withNewNonce).NotTo(Equal(mac))
	impersonated := tr
	impersonated.dialer.Identity.Host = "eve"
	withOtherHost, _ := impersonated.mac(secret, roleDialer)
	g.Expect(withOtherHost).NotTo(Equal(mac))
}

// A middlebox drops the state of the connection: both ends keep it open, and no bytes arrive
// any more. A call must not wait for its deadline of a minute. ReadTimeout ends the connection,
// and the error says that the peer may have received the call.
func TestBlackholedConnectionEndsAsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	serverOpts := options(hostB, "s")
	serverOpts.ReadTimeout = time.Minute // otherwise the server may close first, which arrives as EOF
	address, _, _ := startServer(t, serverOpts, echo)
	toServer, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	blackhole := &blackholeConn{Conn: toServer, blackholed: make(chan struct{})}
	opts := options(hostA, "s").withDefaults()
	opts.ReadTimeout = 200 * time.Millisecond
	c, err := newConn(blackhole, opts, echo, dialHandshake)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Call(context.Background(), "echo", nil)).To(BeEquivalentTo("ada:"))
	close(blackhole.blackholed)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = c.Call(ctx, "echo", nil)
	g.Expect(err).To(MatchError(peer.ErrNoResponse))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(c.Err()).To(MatchError(ErrUnresponsive))
	_, err = c.Call(ctx, "echo", nil)
	g.Expect(err).To(MatchError(peer.ErrUnreachable))
}

// blackholeConn discards all bytes in both directions without an error once blackholed is
// closed, as a middlebox does that has lost the state of the connection.
type blackholeConn struct {
	net.Conn
	blackholed chan struct{}
}

func (s *blackholeConn) Write(b []byte) (int, error) {
	select {
	case <-s.blackholed:
		return len(b), nil
	default:
		return s.Conn.Write(b)
	}
}

func (s *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := s.Conn.Read(b)
		select {
		case <-s.blackholed:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// A response arrives after its caller has stopped waiting. It must not become the response to a
// later call: ids are never reused, and a response with an unknown id is dropped.
func TestLateResponseIsDropped(t *testing.T) {
	g := NewWithT(t)
	finish, started := make(chan struct{}), make(chan struct{})
	address, _, _ := startServer(t, options(hostB, "s"), func(_ context.Context, _ peer.Identity, m peer.Method, _ []byte) ([]byte, error) {
		if m == "slow" {
			close(started)
			<-finish
		}
		return []byte(m), nil
	})
	c, err := Dial(context.Background(), address, options(hostA, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err = c.Call(ctx, "slow", nil)
	g.Expect(err).To(MatchError(peer.ErrNoResponse))
	close(finish)
	g.Expect(c.Call(context.Background(), "quick", nil)).To(BeEquivalentTo("quick"))
	g.Eventually(c.DroppedResponses, 10*time.Second).Should(BeEquivalentTo(1))
}

// A peer sends many calls that hang. The number of running handlers is bounded: calls over the
// limit are rejected at once, and the connection stays open.
func TestCallsOverTheLimitAreRefused(t *testing.T) {
	g := NewWithT(t)
	finish, started := make(chan struct{}), make(chan struct{}, 4)
	opts := options(hostB, "s")
	opts.MaxHandlers = 1
	address, _, _ := startServer(t, opts, func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
		started <- struct{}{}
		<-finish
		return nil, nil
	})
	c, err := Dial(context.Background(), address, options(hostA, "s"), echo)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	first := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), "hang", nil)
		first <- err
	}()
	<-started
	_, err = c.Call(context.Background(), "hang", nil)
	g.Expect(err).To(MatchError(peer.ErrFailureResponse))
	close(finish)
	g.Expect(<-first).NotTo(HaveOccurred())
}

func TestOversizedFramesAreRejected(t *testing.T) {
	g := NewWithT(t)
	opts := options(hostA, "s")
	opts.MaxFrameBytes = 1024
	address, _, _ := startServer(t, options(hostB, "s"), func(context.Context, peer.Identity, peer.Method, []byte) ([]byte, error) {
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
	opts := options(hostA, "s")
	opts.IdleTimeout = 50 * time.Millisecond
	address, _, _ := startServer(t, options(hostB, "s"), echo)
	c, err := Dial(context.Background(), address, opts, echo)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.Done(), 10*time.Second).Should(BeClosed())
	g.Expect(c.Err()).To(MatchError(ErrIdle))
}

// Clients open more connections to the peer port than may be pending in the handshake, and send
// nothing. The connections are closed after HandshakeTimeout, so that a peer can connect again.
func TestUnauthenticatedConnectionsDoNotBlockPeers(t *testing.T) {
	g := NewWithT(t)
	opts := options(hostB, "s")
	opts.HandshakeTimeout = 100 * time.Millisecond
	address, _, _ := startServer(t, opts, echo)
	for range maxPendingHandshakes + 10 {
		client, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer client.Close()
	}
	g.Eventually(func() error {
		c, err := Dial(context.Background(), address, options(hostA, "s"), echo)
		if err == nil {
			c.Close()
		}
		return err
	}, 10*time.Second).Should(Succeed())
}

// The process of a peer is stopped: its kernel accepts the connection, but nothing responds to
// the handshake. Dial must return at the caller's deadline and not after the longer
// HandshakeTimeout, which would delay the detection of a failed host.
func TestDialRespectsContextDeadline(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	opts := options(hostA, "s")
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

// FuzzGreeting passes arbitrary bytes of an unauthenticated client to the accepting end. It must
// neither panic nor authenticate a client that does not have the secret.
func FuzzGreeting(f *testing.F) {
	var hello bytes.Buffer
	g := newGreeting(hostA)
	if err := sendMessage(&hello, &g); err != nil {
		f.Fatal(err)
	}
	f.Add(hello.Bytes())
	if err := sendMessage(&hello, &proof{MAC: make([]byte, 32)}); err != nil {
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
		if id, err := acceptHandshake(rw, hostB, []byte("a secret that no input knows")); err == nil {
			t.Fatalf("%+v was authenticated without the secret", id)
		}
	})
}

// FuzzFrame passes arbitrary bytes of a faulty or hostile peer to the decoder. It must return an
// error or a frame that can be encoded again, and must not allocate more memory than the limit.
func FuzzFrame(f *testing.F) {
	const limit = 1 << 12
	for _, fr := range []*frame{{Kind: framePing}, {Kind: frameRequest, ID: 7, Method: "m", TimeoutMillis: 9, Body: []byte("abc")}} {
		data, _ := encodeFrame(fr, limit)
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 6, 0x95, 1, 0xc6, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := readMessage(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		fr, err := decodeFrame(message)
		if err != nil {
			return
		}
		if len(fr.Body) > limit {
			t.Fatalf("body of %d bytes from a message of %d bytes", len(fr.Body), len(message))
		}
		if _, err := encodeFrame(fr, 2*limit); err != nil {
			t.Fatal(err)
		}
	})
}
