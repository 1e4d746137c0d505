package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"bilberrydale/connection/backend"
	"bilberrydale/process/claim"
	"bilberrydale/process/kind"
	"bilberrydale/request/pipeline"
)

// claim makes this entry host the one that runs the key. done is true when an
// earlier attempt's answer was given instead.
func (c *call) claim() (done bool, refusal *kind.Error) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.admitted.Deadline)
	defer cancel()
	for {
		res := c.Claims.Begin(ctx, c.claimKey)
		switch res.State {
		case claim.Granted:
			c.claimed, c.fresh = true, !res.PartiallyRan
			return false, nil
		case claim.Done:
			if res.Response != nil {
				c.replay(res.Response)
				return true, nil
			}
			e := kind.New(kind.OutcomeUnknown, "the request ran; its answer is no longer kept")
			e.ExecutionConfirmed = true
			return false, e
		case claim.Running:
			if res.Wait == nil {
				e := kind.New(kind.InProgress, "another entry host runs this key")
				e.RetryAfter = res.RetryAfter
				return false, e
			}
			select {
			case <-res.Wait:
			case <-ctx.Done():
				return false, kind.New(kind.InProgress, "the first attempt has not finished")
			}
		default:
			return false, claimRefusal(res)
		}
	}
}

func claimRefusal(res claim.Result) *kind.Error {
	var e *kind.Error
	switch res.State {
	case claim.BodyMismatch:
		e = kind.New(kind.KeyReused, "send a new key with a new body")
	case claim.Unavailable:
		e = kind.New(kind.ClaimUnavailable, "the claim could not be made")
	case claim.UnknownTicket:
		e = kind.New(kind.UnknownTicket, "the entry host that minted the ticket has ended, or did not mint it")
		if res.RetryAfter > 0 {
			e = kind.New(kind.ClaimUnavailable, "the entry host that minted the ticket cannot be reached")
		}
	default:
		e = kind.New(kind.OutcomeUnknown, "an earlier attempt with this key may have run")
	}
	e.RetryAfter = res.RetryAfter
	return e
}

// replay gives a kept answer, in the form that this send asks for.
func (c *call) replay(a *claim.Response) {
	if !c.wantsStream() || a.Status != http.StatusOK {
		c.write(a.Status, a.Header["Content-Type"], a.Body)
		return
	}
	c.stream = &streamWriter{w: c.w}
	if c.stream.write(backend.Chunk{Data: string(a.Body)}) == nil {
		_ = c.stream.write(backend.Chunk{Offset: int64(len(a.Body)), Final: true})
	}
}

// whole is a whole answer as it is kept for resends.
func whole(contentType string, body []byte) claim.Response {
	return claim.Response{Status: http.StatusOK, Header: map[string]string{"Content-Type": contentType}, Body: body}
}

// settle tells the claim store how the attempt ended. It uses a context of its
// own: a caller that went away must not keep the outcome from being recorded.
func (c *call) settle(res *pipeline.Result, err *kind.Error) {
	if !c.claimed {
		return
	}
	c.claimed = false
	ctx := context.WithoutCancel(c.r.Context())
	switch {
	case err == nil:
		c.Claims.Finish(ctx, c.claimKey, whole(res.ContentType, res.Body))
	case !res.NonRepeatableMayHaveRun:
		c.release(ctx, err.Dispatched)
	case err.Kind == kind.BackendRefused:
		// The service has answered: a resend gets the same answer.
		c.Claims.Finish(ctx, c.claimKey, c.keepProblem(err))
	default:
		c.Claims.MarkUnknown(ctx, c.claimKey)
	}
}

func (c *call) keepProblem(e *kind.Error) claim.Response {
	p := c.problem(e, e.Ran())
	body, _ := json.Marshal(p) // cannot fail
	return claim.Response{Status: p.Status, Header: map[string]string{"Content-Type": problemType}, Body: body}
}

// release gives the key up. Stages that may be repeated may have run.
func (c *call) release(ctx context.Context, ranPart bool) {
	if parts, ok := c.Claims.(claim.PartialReleaser); ok && ranPart {
		parts.ReleasePartial(ctx, c.claimKey)
		return
	}
	c.Claims.Release(ctx, c.claimKey)
}

// settleLate records the outcome of a stage that must not be repeated when it
// comes after the caller got its answer, so that a resend learns it. The gate
// counts it as work in flight.
func (c *call) settleLate(pending <-chan pipeline.LateResult) {
	c.Gate.EnterNested()
	claimed := c.claimed
	c.claimed = false
	ctx := context.WithoutCancel(c.r.Context())
	go func() {
		defer c.Gate.Exit()
		late := <-pending
		switch {
		case !claimed:
		case late.NotStarted:
			c.release(ctx, true)
		case late.Complete:
			c.Claims.Finish(ctx, c.claimKey, whole(late.ContentType, late.Body))
		default:
			c.Claims.MarkUnknown(ctx, c.claimKey)
		}
	}()
}

// mint answers a request for a ticket.
func (c *call) mint() {
	text, err := c.Claims.MintTicket(c.r.Context(), c.r.Header.Get(c.Headers.Account))
	if err != nil || text == "" {
		c.refuse(kind.New(kind.ClaimUnavailable, "no ticket can be minted here"))
		return
	}
	body, _ := json.Marshal(Ticket{Ticket: text}) // cannot fail
	c.answer(http.StatusOK, body)
}

// Ticket is the answer of POST TicketPath. Its text goes into the key header
// of one request of the same client account.
type Ticket struct {
	Ticket string `json:"ticket"`
}
