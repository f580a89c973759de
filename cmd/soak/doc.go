// Command soak runs an example deployment under random failures for as long as it is told and ends at the first violation.
package main
