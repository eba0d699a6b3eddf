// Package metrics collects counters, gauges, timers and histograms through a tally scope and writes them in the
// Prometheus text format, version 0.0.4.
package metrics
