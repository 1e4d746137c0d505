package entry

import (
	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bilberrydale/process/kind"
	"bilberrydale/process/telemetry"
)

// recordRefusal writes down an error answer, on the span and in the log.
// Refusals are cheap so that a host stands any number of them; a log line each
// would cost more than the refusal, so the lines are bounded.
func (c *call) recordRefusal(e *kind.Error, ran kind.Ran) {
	if span := c.span(); span.IsRecording() {
		span.SetAttributes(attribute.String("error.kind", string(e.Kind)), attribute.String("error.ran", string(ran)))
		span.SetStatus(codes.Error, e.Detail)
	}
	if c.LogLimit != nil && !c.LogLimit.AllowN(c.Clock.Now(), 1) {
		c.Counters.UnloggedRefusals.Add(1)
		return
	}
	c.Log.Info("request refused", "request", c.id, "trace", telemetry.TraceID(c.r.Context()),
		"route", c.routeName(), "kind", e.Kind, "ran", ran, "detail", e.Detail)
}

// recordWhole writes down a whole answer.
func (c *call) recordWhole() {
	if span := c.span(); span.IsRecording() {
		span.SetAttributes(attribute.String("route", c.routeName()), attribute.Int64("release", int64(c.snap.Number)))
	}
	if c.Log.GetLevel() <= log.DebugLevel {
		c.Log.Debug("request completed", "request", c.id, "trace", telemetry.TraceID(c.r.Context()),
			"route", c.routeName(), "took", c.Clock.Now().Sub(c.admitted.ArrivedAt))
	}
}

func (c *call) span() trace.Span { return trace.SpanFromContext(c.r.Context()) }

// routeName is empty before the route is found.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
