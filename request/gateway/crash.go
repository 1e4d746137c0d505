package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
)

// errConnectionBroke means that the server's end closed or reset the connection before the
// response was complete.
var errConnectionBroke = fmt.Errorf("%w: the server closed the connection", errInvalidResponse)

// connectionBroke reports whether err, of a read or a send, is due to the server's end of the
// connection. A timeout is not: it may be due to the network.
func connectionBroke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// invalidResponse returns errInvalidResponse, or errConnectionBroke if that is the cause.
func invalidResponse(err error) error {
	if connectionBroke(err) {
		return errConnectionBroke
	}
	return errInvalidResponse
}

// fingerprint identifies the content of the request, by which it is recognized when the client
// sends it again.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	return quarantine.Content{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Account: x.account, Body: x.body.Blocks()}.Fingerprint()
}

// serverCrashed reports whether the server crashed during an attempt that ended with err. A
// broken connection alone proves nothing: the server's process has ended only if it also
// refuses a new connection.
func (x *exchange) serverCrashed(s *directory.Server, err error) bool {
	return errors.Is(err, errConnectionBroke) && x.refusesConnections(s)
}

// refusesConnections reports whether the server refuses a new connection, which shows that its
// process has ended. A connection that times out proves nothing, as the network may have lost it.
func (x *exchange) refusesConnections(s *directory.Server) bool {
	ctx, cancel := x.questionContext()
	defer cancel()
	err := x.opts.Servers.Probe(ctx, s.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused {
		x.logEntry.noteFailure(fmt.Sprintf("%s is not taken for ended: %v", s.ID, err))
	}
	return refused
}

// questionContext returns a context for questions about a server after an attempt. It does not end when the client
// leaves, as the answer matters for other requests, too, but at the shutdown deadline: the client has to be
// answered then. The caller cancels it.
func (x *exchange) questionContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	stop := context.AfterFunc(x.r.Context(), func() {
		if x.cutByShutdown() {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// processProbeTimeout bounds the question whether a server's process is still the same.
const processProbeTimeout = 300 * time.Millisecond

// verifyRunning asks a server that has broken off an answer whether it runs on. A failed server
// counts as cold, as it may have started again; one that breaks off streams only would get hardly
// any requests.
func (x *exchange) verifyRunning(s *directory.Server) {
	question, cancelQuestion := x.questionContext()
	defer cancelQuestion()
	ctx, cancel := context.WithTimeout(question, processProbeTimeout)
	defer cancel()
	asked := x.opts.Clock.Now()
	if x.probeProcess(ctx, s) == nil {
		s.RecordRunning(asked)
	}
}

// verifyEnd returns errConnectionBroke if a response whose body was read to its end may be
// incomplete: a body that ends with its connection is whole only if the connection did not end
// because the server's process did.
func (x *exchange) verifyEnd(a *attempt) error {
	if a.response.BodyEnd == upstream.EndByClose && x.refusesConnections(a.server) {
		return fmt.Errorf("%w by ending, with no length or chunks to show that the answer is whole", errConnectionBroke)
	}
	return nil
}

// watchForCrash makes an attempt on a server and returns its error. A crash of the server
// during the attempt is attributed to the request.
func (x *exchange) watchForCrash(s *directory.Server, attempt func() error) error {
	x.opts.Guard.BeginAttempt(x.subjects, s.ID)
	err := attempt()
	if err != nil {
		x.logEntry.noteFailure(err.Error())
	}
	crashed := x.serverCrashed(s, err)
	switch {
	case crashed:
		x.logEntry.ServerCrashes++
	case errors.Is(err, errConnectionBroke) && x.coldStartLimit().RequestsPerSecond > 0:
		x.verifyRunning(s)
	}
	x.opts.Guard.EndAttempt(x.subjects, s.ID, crashed)
	return err
}

// checkAttempt returns an error if the request is in quarantine and gets no trial. The trial, if it is
// one, is one attempt.
func (x *exchange) checkAttempt() (trial bool, err error) {
	_, trial, err = quarantine.PermitAttempt(x.opts.Guard, x.subjects, !x.reachedServer)
	if err != nil {
		return false, notSent(err)
	}
	x.logEntry.Trial = x.logEntry.Trial || trial
	return trial, nil
}

// checkAfterWait reports whether an attempt that checkAttempt has permitted may still be made. An attempt
// that is a trial keeps its permission.
func (x *exchange) checkAfterWait(hist *attemptHistory) bool {
	if !hist.trial {
		hist.trial, hist.quarantined = x.checkAttempt()
	}
	return hist.quarantined == nil
}

// notSent marks the error of a refusal as one of an attempt that has not been sent, unless it was
// marked as dispatched: each attempt of a client has an id of its own here.
func notSent(err error) error {
	var refused *errkind.Error
	if errors.As(err, &refused) {
		refused.EarlierAttempt = false
	}
	return err
}

// clearSuspicion ends the suspicion of a request that has run to its end.
func (x *exchange) clearSuspicion() {
	if isolator, ok := x.opts.Guard.(quarantine.Isolator); ok {
		isolator.ClearSuspicion(x.subjects)
	}
}
