// Package meter counts requests by class and failure domain and keeps their latencies as histograms in expvar.
package meter
