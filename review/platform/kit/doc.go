// Package kit holds what the scripts of the review share: the processes under test, the stand-in
// servers with their entries in the store, clients, and the record of a run.
package kit
