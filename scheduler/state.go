package scheduler

import "time"

type target struct {
	id    string
	limit int
	// used counts the held grants on the target, of this and of earlier epochs.
	used int
}

type account struct {
	name   string
	weight float64
	// virtual is the virtual time in units per weight.
	virtual float64
	// own is the cumulative service charged in this epoch; known is the last fleet total,
	// which contains included units of own.
	own, known, included float64
	// reported is the value of own in the last report.
	reported float64
	// ready lists the demands with grantable requests, served in rotation from next.
	ready []*demand
	next  int
	// index is the position in the heap, -1 while no request is grantable.
	index int
}

type demand struct {
	member   *member
	account  *account
	waiting  int
	estimate float64
	affinity uint64
	seen     uint64
	// unseen lists, in increasing order, the grants issued after seen.
	unseen []uint64
	// position is the index in account.ready, -1 while nothing is grantable.
	position int
}

// grantable is the number of waiting requests that no issued grant covers yet.
func (d *demand) grantable() int { return d.waiting - len(d.unseen) }

type member struct {
	name     string
	live     bool
	reported bool
	demands  map[*account]*demand
}

// grantKey names a grant across epochs.
type grantKey struct{ epoch, id uint64 }

type grant struct {
	key     grantKey
	member  *member
	account *account
	target  *target
	// charged is the part of the cost charged to the account by this scheduler.
	charged float64
	// listed is when the grant was issued or last appeared in its holder's holdings.
	listed time.Duration
}
