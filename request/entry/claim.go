package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"bilberrydale/connection/backend"
	"bilberrydale/process/claim"
	"bilberrydale/process/errkind"
	"bilberrydale/request/pipeline"
)

// acquireClaim claims the request's key for this entry host and waits for an earlier
// request with the same key that runs here. done is set if the response of an earlier
// request was sent instead. If done is not set and err is nil, the claim is held and has
// to be settled.
func (c *callerRequest) acquireClaim() (done bool, err *errkind.Error) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.admitted.Deadline)
	defer cancel()
	for {
		res := c.Claims.Begin(ctx, c.claimKey)
		switch res.State {
		case claim.Granted:
			c.claimed, c.neverRan = true, !res.PartiallyRan
			return false, nil
		case claim.Done:
			if res.Response != nil {
				c.replayResponse(res.Response)
				return true, nil
			}
			e := errkind.New(errkind.OutcomeUnknown, "the request ran; its answer is no longer kept")
			e.ExecutionConfirmed = true
			return false, e
		case claim.Running:
			if res.Wait == nil {
				e := errkind.New(errkind.InProgress, "another entry host runs this key")
				e.RetryAfter = res.RetryAfter
				return false, e
			}
			select {
			case <-res.Wait:
			case <-ctx.Done():
				return false, errkind.New(errkind.InProgress, "the first attempt has not finished")
			}
		default:
			return false, claimError(res)
		}
	}
}

// claimError returns the error for a claim that was not granted.
func claimError(res claim.Result) *errkind.Error {
	var e *errkind.Error
	switch res.State {
	case claim.BodyMismatch:
		e = errkind.New(errkind.KeyReused, "send a new key with a new body")
	case claim.Unavailable:
		e = errkind.New(errkind.ClaimUnavailable, "the claim could not be made")
	case claim.UnknownTicket:
		e = errkind.New(errkind.UnknownTicket, "the entry host that minted the ticket has ended, or did not mint it")
		if res.RetryAfter > 0 {
			e = errkind.New(errkind.ClaimUnavailable, "the entry host that minted the ticket cannot be reached")
		}
	default:
		e = errkind.New(errkind.OutcomeUnknown, "an earlier attempt with this key may have run")
	}
	e.RetryAfter = res.RetryAfter
	return e
}

// replayResponse sends a stored response, as a stream if this request wants one.
func (c *callerRequest) replayResponse(response *claim.Response) {
	if !c.wantsStream() || response.Status != http.StatusOK {
		c.writeResponse(response.Status, response.Header["Content-Type"], response.Body)
		return
	}
	c.stream = &streamWriter{w: c.w}
	if c.stream.write(backend.Chunk{Data: string(response.Body)}) == nil {
		_ = c.stream.write(backend.Chunk{Offset: int64(len(response.Body)), Final: true})
	}
}

// completeResponse returns a successful response in the form that is stored for resends.
func completeResponse(contentType string, body []byte) claim.Response {
	return claim.Response{Status: http.StatusOK, Header: map[string]string{"Content-Type": contentType}, Body: body}
}

// settleClaim records the outcome of the request in the claim store. Its context outlives
// the request's, so that the outcome is recorded even if the caller has disconnected.
func (c *callerRequest) settleClaim(res *pipeline.Result, err *errkind.Error) {
	if !c.claimed {
		return
	}
	c.claimed = false
	ctx := context.WithoutCancel(c.r.Context())
	switch {
	case err == nil:
		c.Claims.Finish(ctx, c.claimKey, completeResponse(res.ContentType, res.Body))
	case !res.NonRepeatableMayHaveRun:
		c.releaseClaim(ctx, err.Dispatched)
	case err.Kind == errkind.BackendRefused:
		// The service has responded, so a resend gets the same response.
		c.Claims.Finish(ctx, c.claimKey, c.problemResponse(err))
	default:
		c.Claims.MarkUnknown(ctx, c.claimKey)
	}
}

// problemResponse returns an error response in the form that is stored for resends.
func (c *callerRequest) problemResponse(e *errkind.Error) claim.Response {
	p := c.problem(e, e.Ran())
	body, _ := json.Marshal(p) // cannot fail
	return claim.Response{Status: p.Status, Header: map[string]string{"Content-Type": problemMediaType}, Body: body}
}

// releaseClaim releases the key, so that a resend can run. mayHaveRun is set if repeatable
// stages may have run.
func (c *callerRequest) releaseClaim(ctx context.Context, mayHaveRun bool) {
	if partial, ok := c.Claims.(claim.PartialReleaser); ok && mayHaveRun {
		partial.ReleasePartial(ctx, c.claimKey)
		return
	}
	c.Claims.Release(ctx, c.claimKey)
}

// settleLateResult records the outcome of a non-repeatable stage that ends after the caller
// has got an error, so that a resend gets it. Until then the gate counts the request as in
// flight.
func (c *callerRequest) settleLateResult(results <-chan pipeline.LateResult) {
	c.Gate.EnterNested()
	claimed := c.claimed
	c.claimed = false
	ctx := context.WithoutCancel(c.r.Context())
	go func() {
		defer c.Gate.Exit()
		late := <-results
		switch {
		case !claimed:
		case late.NotStarted:
			c.releaseClaim(ctx, true)
		case late.Complete:
			c.Claims.Finish(ctx, c.claimKey, completeResponse(late.ContentType, late.Body))
		default:
			c.Claims.MarkUnknown(ctx, c.claimKey)
		}
	}()
}

// mintTicket handles a request for a ticket.
func (c *callerRequest) mintTicket() {
	text, err := c.Claims.MintTicket(c.r.Context(), c.r.Header.Get(c.Headers.Account))
	if err != nil || text == "" {
		c.writeError(errkind.New(errkind.ClaimUnavailable, "no ticket can be minted here"))
		return
	}
	body, _ := json.Marshal(Ticket{Ticket: text}) // cannot fail
	c.writeJSON(http.StatusOK, body)
}

// Ticket is the response to POST TicketPath. The caller sends its text in the key header of
// one request of the same client account.
type Ticket struct {
	Ticket string `json:"ticket"`
}
