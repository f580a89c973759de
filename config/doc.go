// Package config defines the operators' configuration, its changes and its audit records, and
// ensures that its revision only increases.
package config
