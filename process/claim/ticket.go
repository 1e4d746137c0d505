package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/clock"
)

// TicketPrefix is the prefix of every ticket. A key with it is always treated as a
// ticket.
const TicketPrefix = "bt1."

// maxTicketBytes bounds the text of a ticket, in bytes.
const maxTicketBytes = 256

const macBytes = 16 // length of the truncated HMAC-SHA256

// Errors of ticket verification; match them with errors.Is.
var (
	errMalformedTicket = errors.New("claim: malformed ticket")
	errTicketNotOwned  = errors.New("claim: ticket was not minted by this incarnation for this client account")
)

// Ticket is a parsed ticket: a key that names the incarnation of the entry host
// that minted it and holds its claim in memory. It needs no write on the
// platform, so that it can be used during an outage.
type Ticket struct {
	Minter  Owner
	Seq     uint64    // number of the ticket among those of its minter
	Expires time.Time // latest first use
	mac     []byte    // see ticketMinter.mac
}

// storedTicket is the signed content of a ticket. It is encoded as an array: the
// order of the fields is the format.
type storedTicket struct {
	Minter  Owner
	Seq     uint64
	Expires int64 // Unix seconds
}

// ticketMinter mints and verifies the tickets of this incarnation. Its secret never
// leaves the process: tickets of other incarnations cannot be verified here, and
// no ticket outlives its incarnation.
type ticketMinter struct {
	self   Owner
	clock  clock.Clock
	ttl    time.Duration // from minting to the latest first use
	secret [32]byte      // key of the MAC
	seq    atomic.Uint64 // Seq of the last ticket
}

// newTicketMinter returns a minter with a new random secret.
func newTicketMinter(self Owner, clk clock.Clock, ttl time.Duration) *ticketMinter {
	m := &ticketMinter{self: self, clock: clk, ttl: ttl}
	_, _ = rand.Read(m.secret[:]) // does not fail: crypto/rand aborts the process instead
	return m
}

// mac returns the MAC of a ticket's content and client account.
func (m *ticketMinter) mac(content []byte, account string) []byte {
	h := hmac.New(sha256.New, m.secret[:])
	_, _ = h.Write(content)
	_, _ = h.Write([]byte(account))
	return h.Sum(nil)[:macBytes]
}

// mint returns the text of a new ticket for the client account.
func (m *ticketMinter) mint(account string) (string, error) {
	content, err := encode(&storedTicket{Minter: m.self, Seq: m.seq.Add(1), Expires: m.clock.Now().Add(m.ttl).Unix()})
	if err != nil {
		return "", err
	}
	return TicketPrefix + base64.RawURLEncoding.EncodeToString(append(content, m.mac(content, account)...)), nil
}

// verify returns nil if this incarnation minted the ticket for account, else
// errMalformedTicket or errTicketNotOwned. It does not check the expiry.
func (m *ticketMinter) verify(text, account string) error {
	content, mac, err := splitTicket(text)
	if err != nil {
		return err
	}
	if !hmac.Equal(mac, m.mac(content, account)) {
		return errTicketNotOwned
	}
	return nil
}

// hasTicketPrefix reports whether a key has to be treated as a ticket.
func hasTicketPrefix(text string) bool { return strings.HasPrefix(text, TicketPrefix) }

// splitTicket decodes the text of a ticket into its signed content and its MAC,
// or returns errMalformedTicket.
func splitTicket(text string) (content, mac []byte, err error) {
	body, ok := strings.CutPrefix(text, TicketPrefix)
	if !ok || len(text) > maxTicketBytes {
		return nil, nil, errMalformedTicket
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil || len(raw) <= macBytes {
		return nil, nil, errMalformedTicket
	}
	return raw[:len(raw)-macBytes], raw[len(raw)-macBytes:], nil
}

// parseTicket parses a ticket without verifying its MAC or expiry. Its error
// wraps errMalformedTicket.
func parseTicket(text string) (*Ticket, error) {
	content, mac, err := splitTicket(text)
	if err != nil {
		return nil, err
	}
	var s storedTicket
	if err := msgpack.Unmarshal(content, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedTicket, err)
	}
	if s.Minter.Host == "" {
		return nil, errMalformedTicket
	}
	return &Ticket{Minter: s.Minter, Seq: s.Seq, Expires: time.Unix(s.Expires, 0), mac: mac}, nil
}
