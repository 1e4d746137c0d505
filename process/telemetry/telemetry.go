// Package telemetry sets up the structured log and the tracing of a process. A
// request gets one span per hop.
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

// Names of span exporters.
const (
	ExportNone   = "none"   // spans are not recorded
	ExportStdout = "stdout" // JSON on standard output
	ExportOTLP   = "otlp"   // OTLP over HTTP to Options.Endpoint
)

// Options configure the logger and the tracer of a process.
type Options struct {
	Service      string    // name of the service in log lines and spans
	Host         string    // name of the host in log lines and spans
	LogLevel     string    // debug, info, warn or error
	LogJSON      bool      // JSON lines instead of logfmt
	ExporterName string    // ExportNone, ExportStdout or ExportOTLP; empty: ExportNone
	Endpoint     string    // host:port of the OTLP collector; plain HTTP
	SampleRatio  float64   // fraction of traced requests, 0 to 1; a request with a trace context follows that
	LogOutput    io.Writer // default standard error
	// SpanExporter, if set, gets each span synchronously instead of the exporter
	// that ExporterName names.
	SpanExporter sdktrace.SpanExporter
}

// NewLog returns a logger that adds the service and the host to each line. It
// returns an error if LogLevel is unknown.
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

// NewTracer returns a tracer and a function that flushes its spans and shuts it
// down. It sets the W3C trace context as the global propagator. It returns an
// error if ExporterName is unknown or the exporter cannot be created.
func NewTracer(ctx context.Context, o Options) (trace.Tracer, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if o.SpanExporter != nil {
		return newTracer(o, sdktrace.WithSyncer(o.SpanExporter))
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
	return newTracer(o, sdktrace.WithBatcher(exp))
}

// newTracer returns a tracer that exports by export, and the function that shuts
// it down.
func newTracer(o Options, export sdktrace.TracerProviderOption) (trace.Tracer, func(context.Context) error, error) {
	res := resource.NewSchemaless(attribute.String("service.name", o.Service), attribute.String("host.name", o.Host))
	tp := sdktrace.NewTracerProvider(export, sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))))
	return tp.Tracer(o.Service), tp.Shutdown, nil
}

// TraceID returns the trace ID of the span in ctx in hexadecimal; empty if there
// is no span.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
