// Package inspector proves that an accepted configuration is in force everywhere
// and never reverts (P8) and that no client account starves (P2), and makes a
// short run of the chaos command.
package inspector
