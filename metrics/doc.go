// Package metrics collects the metrics of a process and exports them to Prometheus. Counters, gauges, timers and
// histograms go in through a tally scope; Registry writes them in the Prometheus text format, version 0.0.4.
package metrics
