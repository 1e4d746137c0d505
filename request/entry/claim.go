package entry

import (
	"context"
	"net/http"

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
			c.claimed = true
			return false, nil
		case claim.Done:
			if res.Answer != nil {
				c.answer(res.Answer.Status, res.Answer.Body)
				return true, nil
			}
			e := kind.New(kind.OutcomeUnknown, "the request ran; its answer is no longer kept")
			e.RanYes = true
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
	case claim.Mismatch:
		e = kind.New(kind.KeyReused, "send a new key with a new body")
	case claim.Unavailable:
		e = kind.New(kind.ClaimUnavailable, "the claim could not be made")
	case claim.Foreign:
		e = kind.New(kind.UnknownTicket, "only the entry host that minted the ticket may run it")
	default:
		e = kind.New(kind.OutcomeUnknown, "an earlier attempt with this key may have run")
	}
	e.RetryAfter = res.RetryAfter
	return e
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
		c.Claims.Finish(ctx, c.claimKey, claim.Answer{Status: http.StatusOK, Body: res.Body})
	case err.Ran() == kind.RanNo:
		c.Claims.Release(ctx, c.claimKey)
	default:
		c.Claims.Lose(ctx, c.claimKey)
	}
}
