// Package core defines the data types shared by all other packages.
package core
