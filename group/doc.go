// Package group runs beside each rank of a group: it guards the orders sent to the engine, reports
// the rank's expert counts to the group's leader, and leads the group if no other rank does.
package group
