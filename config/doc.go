// Package config defines the operators' configuration, its changes, its audit records and the rule that it only moves forward.
package config
