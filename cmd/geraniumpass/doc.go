// Command geraniumpass runs the roles of the system and the operator's commands.
package main
