// Package telemetry sets up the process's structured log and its spans, one a
// hop of a request.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporters of spans.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

// Options configure telemetry.
type Options struct {
	Service      string
	Host         string
	LogLevel     string
	LogJSON      bool
	ExporterName string  // ExportNone, ExportStdout or ExportOTLP
	Endpoint     string  // OTLP: host:port
	SampleRatio  float64 // share of requests traced, 0 to 1
	LogOutput    io.Writer
	// Exporter gets each span at once, in place of Export.
	SpanExporter sdktrace.SpanExporter
}

// NewLog returns the process's logger.
func NewLog(o Options) (*log.Logger, error) {
	level, err := log.ParseLevel(o.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level %q: use debug, info, warn or error", o.LogLevel)
	}
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	l := log.NewWithOptions(o.LogOutput, log.Options{Level: level, ReportTimestamp: true})
	if o.LogJSON {
		l.SetFormatter(log.JSONFormatter)
	} else {
		l.SetFormatter(log.LogfmtFormatter)
	}
	return l.With("service", o.Service, "host", o.Host), nil
}

// NewTracer returns the process's tracer and a function that flushes it.
func NewTracer(ctx context.Context, o Options) (trace.Tracer, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if o.SpanExporter != nil {
		return provider(o, sdktrace.WithSyncer(o.SpanExporter))
	}
	var exp sdktrace.SpanExporter
	var err error
	switch o.ExporterName {
	case ExportNone, "":
		return noop.NewTracerProvider().Tracer(o.Service), func(context.Context) error { return nil }, nil
	case ExportStdout:
		exp, err = stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case ExportOTLP:
		exp, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, nil, fmt.Errorf("span exporter %q: use none, stdout or otlp", o.ExporterName)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("span exporter: %w", err)
	}
	return provider(o, sdktrace.WithBatcher(exp))
}

func provider(o Options, export sdktrace.TracerProviderOption) (trace.Tracer, func(context.Context) error, error) {
	res := resource.NewSchemaless(attribute.String("service.name", o.Service), attribute.String("host.name", o.Host))
	tp := sdktrace.NewTracerProvider(export, sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))))
	return tp.Tracer(o.Service), tp.Shutdown, nil
}

// TraceID returns the trace id of the span in ctx as text; empty: none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
