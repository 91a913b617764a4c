// Package stopper tests that leaving targets receive no new work (property P6 of
// the project's requirements) and that planned stops cut no request in flight
// (property P7).
package stopper
