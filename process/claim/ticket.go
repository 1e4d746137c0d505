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

// TicketPrefix starts every ticket, and no other key is taken for one.
const TicketPrefix = "bt1."

// maxTicket bounds the text of a ticket, in bytes.
const maxTicket = 256

const macBytes = 16

// Errors of a ticket. Use errors.Is.
var (
	errNotTicket = errors.New("claim: malformed ticket")
	errForged    = errors.New("claim: ticket was not minted here for this account")
)

// Ticket is a key that names the one incarnation whose memory decides about
// it. It needs no write on the platform, so that it is good in an outage.
type Ticket struct {
	Minter  Owner
	Seq     uint64
	Expires time.Time
	mac     []byte
}

type storedTicket struct {
	Minter  Owner
	Seq     uint64
	Expires int64 // unix seconds
}

// mint makes and checks the tickets of this incarnation. Its secret never
// leaves the process: a ticket of another incarnation cannot be checked here,
// and none outlives its incarnation.
type mint struct {
	self   Owner
	clock  clock.Clock
	life   time.Duration
	secret [32]byte
	seq    atomic.Uint64
}

func newMint(self Owner, clk clock.Clock, life time.Duration) *mint {
	m := &mint{self: self, clock: clk, life: life}
	_, _ = rand.Read(m.secret[:]) // never fails
	return m
}

func (m *mint) mac(head []byte, account string) []byte {
	h := hmac.New(sha256.New, m.secret[:])
	_, _ = h.Write(head)
	_, _ = h.Write([]byte(account))
	return h.Sum(nil)[:macBytes]
}

// issue returns a new ticket's text.
func (m *mint) issue(account string) (string, error) {
	head, err := encode(&storedTicket{Minter: m.self, Seq: m.seq.Add(1), Expires: m.clock.Now().Add(m.life).Unix()})
	if err != nil {
		return "", err
	}
	return TicketPrefix + base64.RawURLEncoding.EncodeToString(append(head, m.mac(head, account)...)), nil
}

// check reports whether t was minted here for account.
func (m *mint) check(text, account string) error {
	head, mac, err := split(text)
	if err != nil {
		return err
	}
	if !hmac.Equal(mac, m.mac(head, account)) {
		return errForged
	}
	return nil
}

func isTicket(text string) bool { return strings.HasPrefix(text, TicketPrefix) }

func split(text string) (head, mac []byte, err error) {
	body, ok := strings.CutPrefix(text, TicketPrefix)
	if !ok || len(text) > maxTicket {
		return nil, nil, errNotTicket
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil || len(raw) <= macBytes {
		return nil, nil, errNotTicket
	}
	return raw[:len(raw)-macBytes], raw[len(raw)-macBytes:], nil
}

// parseTicket reads a ticket without checking who minted it.
func parseTicket(text string) (*Ticket, error) {
	head, mac, err := split(text)
	if err != nil {
		return nil, err
	}
	var s storedTicket
	if err := msgpack.Unmarshal(head, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotTicket, err)
	}
	if s.Minter.Host == "" {
		return nil, errNotTicket
	}
	return &Ticket{Minter: s.Minter, Seq: s.Seq, Expires: time.Unix(s.Expires, 0), mac: mac}, nil
}
