// Package meter counts requests and records latency histograms by class and failure domain.
package meter
