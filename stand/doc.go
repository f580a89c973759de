// Package stand provides stand-ins for the surroundings of the system: the platform, model engines,
// plain services and the network.
package stand
