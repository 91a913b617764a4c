// Package messenger defines the types of the messages between daemons. They are
// generated from schema/frame.json by "make generate".
package messenger
