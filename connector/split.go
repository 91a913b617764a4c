package connector

import "monsoondeck.example/messenger"

// split divides a frame into two, each with half of every list of messages. It
// reports false if no list can be divided further.
func split(f *messenger.Frame) (*messenger.Frame, *messenger.Frame, bool) {
	first, second := *f, messenger.Frame{}
	divided := false
	halve(&first.Probes, &second.Probes, &divided)
	halve(&first.ProbeAcks, &second.ProbeAcks, &divided)
	halve(&first.Demands, &second.Demands, &divided)
	halve(&first.Grants, &second.Grants, &divided)
	halve(&first.Settlements, &second.Settlements, &divided)
	halve(&first.Holdings, &second.Holdings, &divided)
	halve(&first.ServiceReports, &second.ServiceReports, &divided)
	halve(&first.ServiceTotals, &second.ServiceTotals, &divided)
	halve(&first.ConfigPushes, &second.ConfigPushes, &divided)
	halve(&first.HostMarks, &second.HostMarks, &divided)
	halve(&first.WorkReports, &second.WorkReports, &divided)
	halve(&first.RegistryChanges, &second.RegistryChanges, &divided)
	return &first, &second, divided
}

// halve moves the second half of a list of two or more messages to another list.
func halve[T any](from, to *[]T, divided *bool) {
	n := len(*from)
	if n < 2 {
		return
	}
	*from, *to = (*from)[:n/2:n/2], (*from)[n/2:]
	*divided = true
}
