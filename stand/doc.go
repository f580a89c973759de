// Package stand holds the small stand-ins for what surrounds the system: platform, model engines, plain services and the network.
package stand
