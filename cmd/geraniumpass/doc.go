// Command geraniumpass runs the roles of the load balancer and the operator commands.
package main
