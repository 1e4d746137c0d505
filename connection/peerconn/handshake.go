package peerconn

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"bilberrydale/process/peer"
)

// ErrNotProven is returned when the other end does not prove the secret.
var ErrUnauthenticated = errors.New("peerconn: the other end did not prove the shared secret")

const (
	protocolVersion = 1
	nonceBytes      = 32
	// maxHandshake bounds what an unproven end can make this one read.
	maxHandshake = 1 << 10
)

// greeting opens the handshake in both directions.
type greeting struct {
	Version  int
	Identity peer.Identity
	Nonce    []byte
}

// proof shows knowledge of the secret.
type proof struct {
	MAC []byte
}

// role keeps a proof of one end from being reflected as that of the other.
type role string

const (
	roleDialer   role = "bilberry peer dialer 1"
	roleAcceptor role = "bilberry peer acceptor 1"
)

// transcript is what both ends saw: both identities and both nonces. A proof
// covers all of it, so that it can neither be replayed on another connection
// nor lent to another identity.
type transcript struct {
	dialer, acceptor greeting
}

func (t *transcript) mac(secret []byte, r role) ([]byte, error) {
	data, err := peer.Marshal([]any{r, &t.dialer, &t.acceptor})
	if err != nil {
		return nil, fmt.Errorf("encode transcript: %w", err)
	}
	m := hmac.New(sha256.New, secret)
	m.Write(data)
	return m.Sum(nil), nil
}

func newGreeting(self peer.Identity) greeting {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return greeting{Version: protocolVersion, Identity: self, Nonce: nonce}
}

// dialHandshake proves this end first, so that nobody gets a proof to guess
// secrets against by merely connecting.
func dialHandshake(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error) {
	t := transcript{dialer: newGreeting(self)}
	if err := send(rw, &t.dialer); err != nil {
		return peer.Identity{}, err
	}
	if err := receiveGreeting(rw, &t.acceptor); err != nil {
		return peer.Identity{}, err
	}
	if err := prove(rw, &t, secret, roleDialer); err != nil {
		return peer.Identity{}, err
	}
	if err := verify(rw, &t, secret, roleAcceptor); err != nil {
		return peer.Identity{}, err
	}
	return t.acceptor.Identity, nil
}

func acceptHandshake(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error) {
	var t transcript
	if err := receiveGreeting(rw, &t.dialer); err != nil {
		return peer.Identity{}, err
	}
	t.acceptor = newGreeting(self)
	if err := send(rw, &t.acceptor); err != nil {
		return peer.Identity{}, err
	}
	if err := verify(rw, &t, secret, roleDialer); err != nil {
		return peer.Identity{}, err
	}
	if err := prove(rw, &t, secret, roleAcceptor); err != nil {
		return peer.Identity{}, err
	}
	return t.dialer.Identity, nil
}

func prove(w io.Writer, t *transcript, secret []byte, r role) error {
	mac, err := t.mac(secret, r)
	if err != nil {
		return err
	}
	return send(w, &proof{MAC: mac})
}

func verify(r io.Reader, t *transcript, secret []byte, of role) error {
	want, err := t.mac(secret, of)
	if err != nil {
		return err
	}
	var got proof
	if err := receive(r, &got); err != nil {
		return fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	if !hmac.Equal(got.MAC, want) {
		return ErrUnauthenticated
	}
	return nil
}

func send(w io.Writer, v any) error {
	data, err := peer.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode handshake: %w", err)
	}
	block, err := prefixed(data, maxHandshake)
	if err != nil {
		return err
	}
	_, err = w.Write(block)
	return err
}

func receive(r io.Reader, v any) error {
	data, err := readBlock(r, maxHandshake)
	if err != nil {
		return err
	}
	if err := peer.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func receiveGreeting(r io.Reader, g *greeting) error {
	if err := receive(r, g); err != nil {
		return err
	}
	if g.Version != protocolVersion || len(g.Nonce) != nonceBytes || g.Identity.Host == "" {
		return fmt.Errorf("%w: greeting of version %d", ErrMalformed, g.Version)
	}
	return nil
}
