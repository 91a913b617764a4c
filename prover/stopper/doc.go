// Package stopper tests that leaving targets receive no new work (P6) and that
// planned stops cut no request in flight (P7).
package stopper
