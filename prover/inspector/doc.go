// Package inspector tests that an accepted configuration is in force everywhere
// and never reverts (property P8 of the project's requirements), that no client
// account starves (property P2), and that a short run of the chaos command finds no
// fault.
package inspector
