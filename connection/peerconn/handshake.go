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

// ErrUnauthenticated is returned when the other end does not prove that it has the shared
// secret.
var ErrUnauthenticated = errors.New("peerconn: the other end did not prove the shared secret")

const (
	protocolVersion = 1  // a greeting of another version is rejected
	nonceBytes      = 32 // random bytes in a greeting, new for each connection
	// maxHandshakeBytes is the maximum size of a handshake message. It bounds the memory that
	// an unauthenticated peer can make this process allocate.
	maxHandshakeBytes = 1 << 10
)

// greeting is the first handshake message of each end. It is encoded as a msgpack array.
type greeting struct {
	Version  int // protocolVersion
	Identity peer.Identity
	Nonce    []byte
}

// proof is the second handshake message of each end: an HMAC of the transcript, whose key is
// the shared secret. It is encoded as a msgpack array.
type proof struct {
	MAC []byte
}

// role is part of the data that a proof covers, so that the proof of one end cannot be
// reflected as the proof of the other.
type role string

const (
	roleDialer   role = "bilberry peer dialer 1"
	roleAcceptor role = "bilberry peer acceptor 1"
)

// transcript holds the greetings of both ends. A proof covers both identities and both nonces,
// so that it can neither be replayed on another connection nor used for another identity.
type transcript struct {
	dialer, acceptor greeting
}

// mac returns the HMAC-SHA256 that proves the secret for the end with the given role.
func (t *transcript) mac(secret []byte, r role) ([]byte, error) {
	data, err := peer.Marshal([]any{r, &t.dialer, &t.acceptor})
	if err != nil {
		return nil, fmt.Errorf("encode transcript: %w", err)
	}
	m := hmac.New(sha256.New, secret)
	m.Write(data)
	return m.Sum(nil), nil
}

// newGreeting returns this end's greeting with a new nonce.
func newGreeting(self peer.Identity) greeting {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never returns an error
	return greeting{Version: protocolVersion, Identity: self, Nonce: nonce}
}

// dialHandshake performs the handshake of the dialing end. The dialing end sends its proof
// first: otherwise anybody who connects would obtain a proof against which to test guesses of
// the secret.
func dialHandshake(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error) {
	t := transcript{dialer: newGreeting(self)}
	if err := sendMessage(rw, &t.dialer); err != nil {
		return peer.Identity{}, err
	}
	if err := receiveGreeting(rw, &t.acceptor); err != nil {
		return peer.Identity{}, err
	}
	if err := sendProof(rw, &t, secret, roleDialer); err != nil {
		return peer.Identity{}, err
	}
	if err := verifyProof(rw, &t, secret, roleAcceptor); err != nil {
		return peer.Identity{}, err
	}
	return t.acceptor.Identity, nil
}

// acceptHandshake performs the handshake of the accepting end.
func acceptHandshake(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error) {
	var t transcript
	if err := receiveGreeting(rw, &t.dialer); err != nil {
		return peer.Identity{}, err
	}
	t.acceptor = newGreeting(self)
	if err := sendMessage(rw, &t.acceptor); err != nil {
		return peer.Identity{}, err
	}
	if err := verifyProof(rw, &t, secret, roleDialer); err != nil {
		return peer.Identity{}, err
	}
	if err := sendProof(rw, &t, secret, roleAcceptor); err != nil {
		return peer.Identity{}, err
	}
	return t.dialer.Identity, nil
}

// sendProof sends this end's proof; r is the role of this end.
func sendProof(w io.Writer, t *transcript, secret []byte, r role) error {
	mac, err := t.mac(secret, r)
	if err != nil {
		return err
	}
	return sendMessage(w, &proof{MAC: mac})
}

// verifyProof reads and checks the proof of the other end, which has the given role.
func verifyProof(r io.Reader, t *transcript, secret []byte, remote role) error {
	want, err := t.mac(secret, remote)
	if err != nil {
		return err
	}
	var got proof
	if err := receiveMessage(r, &got); err != nil {
		return fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	if !hmac.Equal(got.MAC, want) {
		return ErrUnauthenticated
	}
	return nil
}

// sendMessage sends a handshake message.
func sendMessage(w io.Writer, v any) error {
	data, err := peer.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode handshake: %w", err)
	}
	message, err := withLengthPrefix(data, maxHandshakeBytes)
	if err != nil {
		return err
	}
	_, err = w.Write(message)
	return err
}

// receiveMessage reads a handshake message into v.
func receiveMessage(r io.Reader, v any) error {
	data, err := readMessage(r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if err := peer.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// receiveGreeting reads and checks the greeting of the other end. Its identity is not yet
// authenticated.
func receiveGreeting(r io.Reader, g *greeting) error {
	if err := receiveMessage(r, g); err != nil {
		return err
	}
	if g.Version != protocolVersion || len(g.Nonce) != nonceBytes || g.Identity.Host == "" {
		return fmt.Errorf("%w: greeting of version %d", ErrMalformed, g.Version)
	}
	return nil
}
