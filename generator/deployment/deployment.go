// Package deployment describes the deployments of two users, scaled to one machine:
// data centres, targets, client accounts and their calls.
package deployment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/generator/loader"
)

// ErrUnknown marks a deployment name that is not known or a size that is not
// possible.
var ErrUnknown = errors.New("deployment is not known or its size is not possible")

// Names of the deployments. Kitakaze is a quoting and ordering service, Smidsverbond
// a booking platform with a tutor.
const (
	Kitakaze     = "kitakaze"
	Smidsverbond = "smidsverbond"
)

// Size is the size of a deployment. Targets counts the engines; the number of servers
// of the plain service is fixed.
type Size struct {
	Routers, Accounts, Targets int
}

// Engine is an inference engine of the deployment.
type Engine struct {
	ID, DataCentre string
	// Slots is the number of requests that run at the same time.
	Slots int
	// Rate is the number of tokens per second of each slot.
	Rate float64
}

// Service is a server of the plain service.
type Service struct {
	ID, DataCentre string
	// Slots is the number of requests that run at the same time.
	Slots int
}

// Account is a client account.
type Account struct {
	ID, Key string
	// Share is the relative share of the capacity to which the account is entitled.
	Share float64
	Role  Role
	// Routers holds the indexes in Deployment.Routers to which the account is pinned.
	Routers []int
}

// Role is the load pattern of an account.
type Role string

// Roles of accounts. Backlogged accounts always have waiting requests, light accounts
// use half of their share, and the flooding account sends ten times its share.
const (
	RoleBacklogged Role = "backlogged"
	RoleLight      Role = "light"
	RoleFlooding   Role = "flooding"
)

// Deployment is the deployment of one user.
type Deployment struct {
	Name        string
	DataCentres []string
	// PeerDelay is the one-way delay between data centres.
	PeerDelay time.Duration
	// Routers holds the data centre of each router.
	Routers  []string
	Engines  []Engine
	Services []Service
	Accounts []Account
	// Model and ServicePool are the names of the pool of the engines and of the pool of
	// the plain service.
	Model, ServicePool string
	Kinds              []loader.Kind
}

const (
	engineSlots  = 8
	serviceSlots = 4
	// The fastest engine is maxSpeedRatio times as fast as the slowest one.
	slowestTokensPerSecond = 50.0
	maxSpeedRatio          = 4.0
	largeAccountShare      = 4.0
)

// New returns a deployment of the given size. The seed selects the routers to which
// accounts are pinned. Errors: ErrUnknown.
func New(name string, size Size, seed uint64) (Deployment, error) {
	d := Deployment{Name: name}
	switch name {
	case Kitakaze:
		d.DataCentres, d.PeerDelay = []string{"sapporo", "asahikawa", "hakodate"}, time.Millisecond
		d.Model, d.ServicePool, d.Kinds = "quote", "orders", kitakazeKinds()
	case Smidsverbond:
		d.DataCentres, d.PeerDelay = []string{"brussel", "leuven", "namur", "mechelen"}, 500*time.Microsecond
		d.Model, d.ServicePool, d.Kinds = "tutor", "bookings", smidsverbondKinds()
	default:
		return Deployment{}, errors.Wrapf(ErrUnknown, "%q", name)
	}
	if size.Routers < 1 || size.Accounts < 1 || size.Targets < 1 {
		return Deployment{}, errors.Wrapf(ErrUnknown, "size %+v", size)
	}
	d.addNodes(size)
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range size.Accounts {
		d.Accounts = append(d.Accounts, d.account(i, r))
	}
	return d, nil
}

// addNodes adds the routers, engines and servers of the plain service, spread over
// the data centres.
func (d *Deployment) addNodes(size Size) {
	centre := func(i int) string { return d.DataCentres[i%len(d.DataCentres)] }
	for i := range size.Routers {
		d.Routers = append(d.Routers, centre(i))
	}
	for i := range size.Targets {
		exponent := float64(i) / float64(max(size.Targets-1, 1))
		// The speed rises from engine to engine while the data centre alternates, so no
		// data centre has only fast engines.
		d.Engines = append(d.Engines, Engine{
			ID: fmt.Sprintf("engine-%d", i+1), DataCentre: centre(i), Slots: engineSlots,
			Rate: math.Round(slowestTokensPerSecond * math.Pow(maxSpeedRatio, exponent)),
		})
	}
	for i := range max(3, len(d.DataCentres)) {
		d.Services = append(d.Services, Service{ID: fmt.Sprintf("desk-%d", i+1), DataCentre: centre(i), Slots: serviceSlots})
	}
}

// account returns account i. The first three are large, the fourth is flooding, and
// the others are light and backlogged in turn.
func (d *Deployment) account(i int, r *rand.Rand) Account {
	a := Account{ID: fmt.Sprintf("account-%02d", i+1), Key: fmt.Sprintf("key-of-account-%02d", i+1), Share: 1, Role: RoleBacklogged}
	switch {
	case i < 3:
		a.Share = largeAccountShare
	case i == 3:
		a.Role = RoleFlooding
	case i%2 == 0:
		a.Role = RoleLight
	}
	// The first account uses all routers, the second the first and the last one. The
	// others are pinned to one router each, more often to one with a low index.
	switch i {
	case 0:
		for n := range d.Routers {
			a.Routers = append(a.Routers, n)
		}
	case 1:
		a.Routers = []int{0, len(d.Routers) - 1}
	default:
		a.Routers = []int{int(float64(len(d.Routers)) * math.Pow(r.Float64(), 2))}
	}
	return a
}

// Rate returns the total capacity of the engines in tokens per second.
func (d Deployment) Rate() float64 {
	var sum float64
	for _, e := range d.Engines {
		sum += e.Rate * float64(e.Slots)
	}
	return sum
}

// engineSlotCount returns the number of slots of all engines.
func (d Deployment) engineSlotCount() int {
	var sum int
	for _, e := range d.Engines {
		sum += e.Slots
	}
	return sum
}

// kitakazeKinds returns the kinds of calls of Kitakaze.
func kitakazeKinds() []loader.Kind {
	return []loader.Kind{
		{Name: "quote", Pool: "quote", Frequency: 5, Stream: true, MeanTokens: 120, MaxTokens: 800, PrefixWords: 128, PromptWords: 60},
		{Name: "question", Pool: "quote", Frequency: 8, Stream: true, MeanTokens: 30, MaxTokens: 200, PrefixWords: 128, PromptWords: 20},
		{Name: "tagging", Pool: "quote", Frequency: 4, MeanTokens: 6, MaxTokens: 32, PrefixWords: 192, PromptWords: 30},
		{Name: "order", Pool: "orders", Frequency: 1, Service: true, Method: http.MethodPost, Path: "/orders", Keyed: true, MeanDuration: 80 * time.Millisecond},
		{Name: "stock", Pool: "orders", Frequency: 2, Service: true, Method: http.MethodGet, Path: "/stock", MeanDuration: 20 * time.Millisecond},
	}
}

// smidsverbondKinds returns the kinds of calls of Smidsverbond.
func smidsverbondKinds() []loader.Kind {
	return []loader.Kind{
		{Name: "plan", Pool: "tutor", Frequency: 4, Stream: true, MeanTokens: 150, MaxTokens: 900, PrefixWords: 96, PromptWords: 80},
		{Name: "chat", Pool: "tutor", Frequency: 10, Stream: true, MeanTokens: 40, MaxTokens: 240, PrefixWords: 96, PromptWords: 30},
		{Name: "tagging", Pool: "tutor", Frequency: 4, MeanTokens: 5, MaxTokens: 24, PrefixWords: 160, PromptWords: 40},
		{Name: "reservation", Pool: "bookings", Frequency: 1, Service: true, Method: http.MethodPost, Path: "/reservations", Keyed: true, MeanDuration: 60 * time.Millisecond},
		{Name: "roster", Pool: "bookings", Frequency: 2, Service: true, Method: http.MethodGet, Path: "/rosters", MeanDuration: 20 * time.Millisecond},
	}
}
