package locator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/configurer"
)

// placement groups the targets that serve exactly the same pools in one data
// centre. A target that serves several pools is in one shard only, so that one
// daemon counts its slots.
type placement struct{ pools, dataCentre string }

// poolSeparator joins the pools of a placement.
const poolSeparator = "+"

// split divides the targets into shards, without owners.
func split(targets []configurer.Target, policy Policy) []Shard {
	placed := map[placement][]configurer.Target{}
	for _, t := range targets {
		p := placement{strings.Join(slices.Sorted(slices.Values(t.Pools)), poolSeparator), t.DataCentre}
		if policy == Central {
			p.dataCentre = ""
		}
		placed[p] = append(placed[p], t)
	}
	var shards []Shard
	for p, members := range placed {
		shards = append(shards, splitPlacement(p, members, policy)...)
	}
	return shards
}

func splitPlacement(p placement, targets []configurer.Target, policy Policy) []Shard {
	count := (len(targets) + TargetsPerShard - 1) / TargetsPerShard
	if policy == Central {
		count = 1
	}
	parts := make([][]configurer.Target, count)
	for _, t := range targets {
		k := xxhash.Sum64String(t.ID) % uint64(count)
		parts[k] = append(parts[k], t)
	}
	var shards []Shard
	for k, part := range parts {
		if len(part) == 0 {
			continue
		}
		name := p.pools + "/" + p.dataCentre + "/" + strconv.Itoa(k)
		slices.SortFunc(part, func(a, b configurer.Target) int { return strings.Compare(a.ID, b.ID) })
		shards = append(shards, Shard{
			Key:        shortKey(name),
			Name:       name,
			Pools:      strings.Split(p.pools, poolSeparator),
			DataCentre: p.dataCentre,
			Targets:    part,
		})
	}
	return shards
}

// shortKey derives the key that messages carry from the name of a shard. With
// 400 shards, two have the same 40-bit key once in ten million configurations.
func shortKey(name string) string {
	return strconv.FormatUint(xxhash.Sum64String(name)>>24, 36)
}
