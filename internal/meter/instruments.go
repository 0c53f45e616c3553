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

const scope = "dragonflydoor"

// Instruments registers observed values and serves them for scraping.
type Instruments struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// NewInstruments returns an empty set of instruments.
func NewInstruments() (*Instruments, error) {
	r := prometheus.NewRegistry()
	e, err := otelprom.New(otelprom.WithRegisterer(r), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("meter: exporter: %w", err)
	}
	p := sdkmetric.NewMeterProvider(sdkmetric.WithReader(e))
	return &Instruments{registry: r, meter: p.Meter(scope)}, nil
}

// Counter registers a value that only grows.
func (i *Instruments) Counter(name, unit, description string, value func() uint64) error {
	_, err := i.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(func() int64 { return int64(value()) })))
	return err
}

// LabelledCounter registers values that only grow, each with its labels.
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

// Gauge registers a value that goes up and down.
func (i *Instruments) Gauge(name, unit, description string, value func() int64) error {
	_, err := i.meter.Int64ObservableGauge(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(value)))
	return err
}

// Histogram registers a distribution with upper bounds and returns what takes
// a value.
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

// Handler serves the values in the Prometheus text format.
func (i *Instruments) Handler() http.Handler {
	return promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{})
}

func observe(value func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
}
