// Package base holds the stand-ins that the scripts of the second review share: the platform's
// store, plain servers, the start of gateways as processes, and the record of a run.
package base
