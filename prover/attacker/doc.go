// Package attacker tests that hostile clients and faulty targets cannot end a daemon, hang
// it, or make it exceed the limits of its host.
//
// Each spec starts a monsoongate process with lowered limits, an emulated store and
// emulated targets on loopback addresses, and lets one crowd of clients attack one
// listener. It checks that the process is alive, that its memory, descriptors and
// goroutines stay below bounds that follow from the limits in its settings, and that
// ordinary requests are answered while the connections of the crowd are still open. No
// check depends on the speed of the machine or on the share of the requests that is served.
package attacker
