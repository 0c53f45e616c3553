package meter

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

const scopeName = "dragonflydoor"

// Instruments registers metrics and serves them in the Prometheus format.
type Instruments struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// NewInstruments returns an empty set of instruments.
func NewInstruments() (*Instruments, error) {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("meter: create Prometheus exporter: %w", err)
	}
	p := sdkmetric.NewMeterProvider(sdkmetric.WithReader(e))
	return &Instruments{registry: r, meter: p.Meter(scopeName)}, nil
}

// Counter registers a monotonic counter that is read from value at each scrape.
func (i *Instruments) Counter(name, unit, description string, value func() uint64) error {
	_, err := i.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(int64Callback(func() int64 { return int64(value()) })))
	return err
}

// LabelledCounter registers a monotonic counter with one series for each set of
// labels that values yields.
func (i *Instruments) LabelledCounter(name, unit, description string, values func(yield func(value uint64, labels map[string]string))) error {
	_, err := i.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			values(func(v uint64, labels map[string]string) {
				var l []attribute.KeyValue
				for k, s := range labels {
					l = append(l, attribute.String(k, s))
				}
				o.Observe(int64(v), metric.WithAttributes(l...))
			})
			return nil
		}))
	return err
}

// Gauge registers a gauge that is read from value at each scrape.
func (i *Instruments) Gauge(name, unit, description string, value func() int64) error {
	_, err := i.meter.Int64ObservableGauge(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(int64Callback(value)))
	return err
}

// Histogram registers a histogram with the given upper bucket bounds and returns
// the function that records a value.
func (i *Instruments) Histogram(name, unit, description string, bounds []float64) (func(float64), error) {
	h, err := i.meter.Float64Histogram(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, err
	}
	return func(v float64) { h.Record(context.Background(), v) }, nil
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text
// format.
func (i *Instruments) Handler() http.Handler {
	return promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{})
}

func int64Callback(value func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
}
