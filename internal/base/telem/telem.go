package telem

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/semconv/v1.40.0"
	api "go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event to w. An unknown
// level counts as info.
func NewLogger(w io.Writer, level string) logr.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

// reportInterval is how often the values of metrics are passed from the scope to the metrics endpoint.
const reportInterval = time.Second

// NewMetrics returns a root scope with its own registry, the handler that serves the metrics in the Prometheus
// text format, and a closer of the scope.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bramleysail",
		CachedReporter: r,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return scope, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), closer
}

// Tracer returns the process's tracer. Its spans are discarded until StartTracing is called.
func Tracer() api.Tracer {
	return otel.Tracer("bramleysail")
}

// propagator encodes span contexts as W3C Trace Context headers.
var propagator = propagation.TraceContext{}

// InjectSpan writes the context of ctx's span into the headers of a request to the next hop.
func InjectSpan(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractSpan returns ctx with the span context that the previous hop wrote into the headers.
func ExtractSpan(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// StartTracing starts the export of spans to the OTLP/HTTP collector at url, as spans of the process
// with the given name. It returns a function that flushes the spans and ends the export. With an
// empty url it does nothing.
func StartTracing(ctx context.Context, url, name string) (func(context.Context) error, error) {
	if url == "" {
		return func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, errors.Wrap(err, "telem")
	}
	p := trace.NewTracerProvider(trace.WithBatcher(exp),
		trace.WithResource(resource.NewSchemaless(semconv.ServiceName("bramleysail"), semconv.ServiceInstanceID(name))))
	otel.SetTracerProvider(p)
	return p.Shutdown, nil
}
