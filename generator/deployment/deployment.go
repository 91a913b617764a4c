// Package deployment describes the two users' deployments, scaled to one
// machine: data centres, targets, client accounts and their calls.
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

// ErrUnknown is returned for a deployment that is not known or cannot be scaled
// as asked.
var ErrUnknown = errors.New("deployment is not known or not possible")

// Names of the deployments.
const (
	Kitakaze     = "kitakaze"
	Smidsverbond = "smidsverbond"
)

// Size scales a deployment.
type Size struct {
	Routers, Accounts, Targets int
}

// Engine is a model engine of the deployment.
type Engine struct {
	ID, DataCentre string
	Slots          int
	// Rate is the number of tokens per second of each slot.
	Rate float64
}

// Service is a server of the plain service.
type Service struct {
	ID, DataCentre string
	Slots          int
}

// Account is a client account.
type Account struct {
	ID, Key string
	Share   float64
	Role    Role
	// Routers are the indexes of the routers that the account is pinned to.
	Routers []int
}

// Role is the part an account plays in the load.
type Role string

// Roles. Backlogged accounts always have waiting requests; light accounts use
// half of their share; the flooding account sends ten times its share.
const (
	RoleBacklogged Role = "backlogged"
	RoleLight      Role = "light"
	RoleFlooding   Role = "flooding"
)

// Deployment is one user's deployment.
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
	// Model and Desk are the pools of the engines and of the services.
	Model, Desk string
	Kinds       []loader.Kind
}

const (
	engineSlots  = 8
	serviceSlots = 4
	// The slowest and the fastest engine differ four-fold in speed.
	slowestRate = 50.0
	speedSpread = 4.0
	largeShare  = 4.0
)

// New returns a deployment of the given size. The seed decides where accounts
// are pinned.
func New(name string, size Size, seed uint64) (Deployment, error) {
	d := Deployment{Name: name}
	switch name {
	case Kitakaze:
		d.DataCentres, d.PeerDelay = []string{"sapporo", "asahikawa", "hakodate"}, time.Millisecond
		d.Model, d.Desk, d.Kinds = "quote", "orders", quoteDesk()
	case Smidsverbond:
		d.DataCentres, d.PeerDelay = []string{"brussel", "leuven", "namur", "mechelen"}, 500*time.Microsecond
		d.Model, d.Desk, d.Kinds = "tutor", "bookings", bookingPlatform()
	default:
		return Deployment{}, errors.Wrapf(ErrUnknown, "%q", name)
	}
	if size.Routers < 1 || size.Accounts < 1 || size.Targets < 1 {
		return Deployment{}, errors.Wrapf(ErrUnknown, "size %+v", size)
	}
	d.place(size)
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range size.Accounts {
		d.Accounts = append(d.Accounts, d.account(i, r))
	}
	return d, nil
}

func (d *Deployment) place(size Size) {
	centre := func(i int) string { return d.DataCentres[i%len(d.DataCentres)] }
	for i := range size.Routers {
		d.Routers = append(d.Routers, centre(i))
	}
	for i := range size.Targets {
		exponent := float64(i) / float64(max(size.Targets-1, 1))
		// Consecutive engines have rising speeds and different data centres, so no
		// data centre has only fast ones.
		d.Engines = append(d.Engines, Engine{
			ID: fmt.Sprintf("engine-%d", i+1), DataCentre: centre(i), Slots: engineSlots,
			Rate: math.Round(slowestRate * math.Pow(speedSpread, exponent)),
		})
	}
	for i := range max(3, len(d.DataCentres)) {
		d.Services = append(d.Services, Service{ID: fmt.Sprintf("desk-%d", i+1), DataCentre: centre(i), Slots: serviceSlots})
	}
}

// account returns account i: three large ones, one that floods, the others
// alternating between backlogged and light.
func (d *Deployment) account(i int, r *rand.Rand) Account {
	a := Account{ID: fmt.Sprintf("account-%02d", i+1), Key: fmt.Sprintf("key-of-account-%02d", i+1), Share: 1, Role: RoleBacklogged}
	switch {
	case i < 3:
		a.Share = largeShare
	case i == 3:
		a.Role = RoleFlooding
	case i%2 == 0:
		a.Role = RoleLight
	}
	// The first large account is spread over all routers, the second over two,
	// all others have one; low router numbers are chosen more often.
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

// Rate returns the capacity of the engines in tokens per second.
func (d Deployment) Rate() float64 {
	var sum float64
	for _, e := range d.Engines {
		sum += e.Rate * float64(e.Slots)
	}
	return sum
}

func (d Deployment) slots() int {
	var sum int
	for _, e := range d.Engines {
		sum += e.Slots
	}
	return sum
}

func quoteDesk() []loader.Kind {
	return []loader.Kind{
		{Name: "quote", Pool: "quote", Frequency: 5, Stream: true, MeanTokens: 120, MaxTokens: 800, PrefixWords: 128, PromptWords: 60},
		{Name: "question", Pool: "quote", Frequency: 8, Stream: true, MeanTokens: 30, MaxTokens: 200, PrefixWords: 128, PromptWords: 20},
		{Name: "tagging", Pool: "quote", Frequency: 4, MeanTokens: 6, MaxTokens: 32, PrefixWords: 192, PromptWords: 30},
		{Name: "order", Pool: "orders", Frequency: 1, Service: true, Method: http.MethodPost, Path: "/orders", Keyed: true, MeanDuration: 80 * time.Millisecond},
		{Name: "stock", Pool: "orders", Frequency: 2, Service: true, Method: http.MethodGet, Path: "/stock", MeanDuration: 20 * time.Millisecond},
	}
}

func bookingPlatform() []loader.Kind {
	return []loader.Kind{
		{Name: "plan", Pool: "tutor", Frequency: 4, Stream: true, MeanTokens: 150, MaxTokens: 900, PrefixWords: 96, PromptWords: 80},
		{Name: "chat", Pool: "tutor", Frequency: 10, Stream: true, MeanTokens: 40, MaxTokens: 240, PrefixWords: 96, PromptWords: 30},
		{Name: "tagging", Pool: "tutor", Frequency: 4, MeanTokens: 5, MaxTokens: 24, PrefixWords: 160, PromptWords: 40},
		{Name: "reservation", Pool: "bookings", Frequency: 1, Service: true, Method: http.MethodPost, Path: "/reservations", Keyed: true, MeanDuration: 60 * time.Millisecond},
		{Name: "roster", Pool: "bookings", Frequency: 2, Service: true, Method: http.MethodGet, Path: "/rosters", MeanDuration: 20 * time.Millisecond},
	}
}
