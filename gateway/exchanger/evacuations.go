package exchanger

import (
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/messenger"
)

// encodeEvacuations returns nil if the sender knows no state.
func encodeEvacuations(r controller.EvacuationReport) *messenger.EvacuationMark {
	if !r.Known {
		return nil
	}
	return &messenger.EvacuationMark{
		Revision: r.Revision, Era: r.Era, DataCentres: r.DataCentres,
		AgeMs: uint64(max(r.Age.Milliseconds(), 0)), Hops: uint64(max(r.Hops, 0)), StoreMs: encodeStoreTime(r.StoreTime),
	}
}

func decodeEvacuations(m *messenger.EvacuationMark) controller.EvacuationReport {
	if m == nil {
		return controller.EvacuationReport{}
	}
	return controller.EvacuationReport{
		EvacuationState: registrar.NewEvacuationState(registrar.Moment{Era: m.Era, Revision: m.Revision}, m.DataCentres),
		Known:           true, Age: decodeAge(m.AgeMs), StoreTime: decodeStoreTime(m.StoreMs), Hops: int(min(m.Hops, maxDecodedCount)),
	}
}
