package locator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoondeck.example/configurer"
)

// partition identifies the targets that serve exactly the same pools in one data
// centre. A target that serves several pools is still in one shard only, so that one
// daemon counts its slots.
type partition struct{ pools, dataCentre string }

// poolSeparator separates the pools in the name of a partition.
const poolSeparator = "+"

// split divides the targets into shards that have no owner yet.
func split(targets []configurer.Target, policy Policy) []Shard {
	byPartition := map[partition][]configurer.Target{}
	for _, t := range targets {
		p := partition{strings.Join(slices.Sorted(slices.Values(t.Pools)), poolSeparator), t.DataCentre}
		if policy == Central {
			p.dataCentre = ""
		}
		byPartition[p] = append(byPartition[p], t)
	}
	var shards []Shard
	for p, members := range byPartition {
		shards = append(shards, splitPartition(p, members, policy)...)
	}
	return shards
}

// splitPartition divides the targets of a partition into shards by the hash of their
// ids.
func splitPartition(p partition, targets []configurer.Target, policy Policy) []Shard {
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
