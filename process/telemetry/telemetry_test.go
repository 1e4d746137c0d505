package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

func TestLogIsStructured(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l, err := NewLog(Options{Service: "bilberryd", Host: "e1", LogLevel: "info", LogJSON: true, LogOutput: &out})
	g.Expect(err).NotTo(HaveOccurred())
	l.Debug("hidden")
	l.Info("request refused", "request", "r-1", "trace", "t-1")
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line).To(And(
		HaveKeyWithValue("host", "e1"), HaveKeyWithValue("request", "r-1"),
		HaveKeyWithValue("trace", "t-1"), HaveKeyWithValue("msg", "request refused"),
	))
}

func TestUnknownNamesAreRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := NewLog(Options{LogLevel: "loud"})
	g.Expect(err).To(MatchError(ContainSubstring("debug, info, warn or error")))
	_, _, err = NewTracer(t.Context(), Options{ExporterName: "file"})
	g.Expect(err).To(MatchError(ContainSubstring("none, stdout or otlp")))
}

func TestTraceIDMatchesSpan(t *testing.T) {
	g := NewWithT(t)
	g.Expect(TraceID(context.Background())).To(BeEmpty())
	spans := tracetest.NewInMemoryExporter()
	tracer, flush, err := NewTracer(t.Context(), Options{Service: "s", SampleRatio: 1, SpanExporter: spans})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, span := tracer.Start(t.Context(), "entry")
	id := TraceID(ctx)
	span.End()
	g.Expect(spans.GetSpans()[0].SpanContext.TraceID().String()).To(Equal(id))
	g.Expect(flush(t.Context())).To(Succeed())
}

func TestSampleRatioApplies(t *testing.T) {
	g := NewWithT(t)
	spans := tracetest.NewInMemoryExporter()
	tracer, _, err := NewTracer(t.Context(), Options{Service: "s", SampleRatio: 0, SpanExporter: spans})
	g.Expect(err).NotTo(HaveOccurred())
	_, span := tracer.Start(t.Context(), "entry")
	span.End()
	g.Expect(spans.GetSpans()).To(BeEmpty())
}
