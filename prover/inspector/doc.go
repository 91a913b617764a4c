// Package inspector tests that an accepted configuration is in force everywhere
// and never reverts (P8), that no client account starves (P2), and that a short run
// of the chaos command finds no fault.
package inspector
