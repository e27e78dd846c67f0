package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricsWriter writes single metrics in Prometheus' text format. Labels are in that format too, "" for none.
type metricsWriter struct{ io.Writer }

func (p metricsWriter) gauge(name, labels string, x float64) {
	metrics.WriteGaugeFloat64(p, series(name, labels), x)
}

func (p metricsWriter) counter(name, labels string, n uint64) {
	metrics.WriteCounterUint64(p, series(name, labels), n)
}

// series returns a metric's name with its labels.
func series(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}

// boolValue is a boolean as a gauge has it: 1 or 0.
func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
