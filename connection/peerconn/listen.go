package peerconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// maxUnproven bounds connections that have not yet proved the secret, so that
// strangers cannot take the process's memory and file descriptors.
const maxUnproven = 64

const acceptPause = 100 * time.Millisecond

// Server accepts connections of peers and gives the proven ones to Accepted.
type Server struct {
	Options  Options
	Dispatch peer.Dispatch
	OnAccept func(peer.Conn)
	// Refused is called with the cause when a connection proves nothing; may
	// be nil.
	OnReject func(address string, cause error)
}

// Run accepts on l until ctx ends, then closes l.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	unproven := make(chan struct{}, maxUnproven)
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of file descriptors, for instance. Ending the process for it
			// would cut every caller; connections close and accepting goes on.
			s.refused("", err)
			if !pause(ctx) {
				return nil
			}
			continue
		}
		select {
		case unproven <- struct{}{}:
			running.Go(func() {
				defer func() { <-unproven }()
				s.open(raw)
			})
		default:
			_ = raw.Close()
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acceptPause):
		return true
	}
}

func (s *Server) refused(address string, cause error) {
	if s.OnReject != nil {
		s.OnReject(address, cause)
	}
}

func (s *Server) open(raw net.Conn) {
	c, err := Accept(raw, s.Options, s.Dispatch)
	if err != nil {
		s.refused(raw.RemoteAddr().String(), err)
		return
	}
	s.OnAccept(c)
}
