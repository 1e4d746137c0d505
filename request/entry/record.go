package entry

import (
	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bilberrydale/process/errkind"
	"bilberrydale/process/telemetry"
)

// recordError records an error response on the span and in the log. A log line costs more
// than refusing a request does, so lines are rate-limited: a host under overload must stay
// able to refuse any number of requests.
func (c *callerRequest) recordError(e *errkind.Error, ran errkind.Ran) {
	if span := c.span(); span.IsRecording() {
		span.SetAttributes(attribute.String("error.kind", string(e.Kind)), attribute.String("error.ran", string(ran)))
		span.SetStatus(codes.Error, e.Detail)
	}
	if c.LogLimit != nil && !c.LogLimit.AllowN(c.Clock.Now(), 1) {
		c.Counters.UnloggedErrors.Add(1)
		return
	}
	c.Log.Info("request refused", "request", c.id, "trace", telemetry.TraceID(c.r.Context()),
		"route", c.routeName(), "kind", e.Kind, "ran", ran, "detail", e.Detail)
}

// recordCompletion records a complete response on the span and, at debug level, in the log.
func (c *callerRequest) recordCompletion() {
	if span := c.span(); span.IsRecording() {
		span.SetAttributes(attribute.String("route", c.routeName()), attribute.Int64("release", int64(c.snap.Number)))
	}
	if c.Log.GetLevel() <= log.DebugLevel {
		c.Log.Debug("request completed", "request", c.id, "trace", telemetry.TraceID(c.r.Context()),
			"route", c.routeName(), "took", c.Clock.Now().Sub(c.admitted.ArrivedAt))
	}
}

// span returns the span of the request.
func (c *callerRequest) span() trace.Span { return trace.SpanFromContext(c.r.Context()) }

// routeName returns the name of the route, or "" before it is matched.
func (c *callerRequest) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
