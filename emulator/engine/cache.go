package engine

import (
	"container/list"
	"hash/fnv"
	"io"
	"time"
)

// blockTokens is the size of a block of the prefix cache. A prefix is cached in
// whole blocks.
const blockTokens = 16

// promptUse is a prompt and what the cache holds of it.
type promptUse struct {
	blocks []uint64 // chained hash of each whole block
	tokens int
	cached int
}

// newPromptUse splits a prompt into blocks. A word counts as one token.
func newPromptUse(words []string) promptUse {
	p := promptUse{tokens: len(words)}
	h := fnv.New64a()
	for i, w := range words {
		_, _ = io.WriteString(h, w+" ") // a hash never fails
		if (i+1)%blockTokens == 0 {
			p.blocks = append(p.blocks, h.Sum64())
		}
	}
	return p
}

// cache is a prefix cache of limited size that evicts the least recently used
// block.
type cache struct {
	limit  int // blocks
	blocks map[uint64]*list.Element
	order  *list.List // most recently used first
	log    eventLog
}

func newCache(tokens, eventGap int) *cache {
	return &cache{limit: tokens / blockTokens, blocks: map[uint64]*list.Element{}, order: list.New(), log: eventLog{gap: eventGap}}
}

func (c *cache) tokens() int { return c.order.Len() * blockTokens }

// use looks a prompt up, stores its blocks and returns it with the number of
// cached tokens.
func (c *cache) use(p promptUse) promptUse {
	hit := true
	for _, b := range p.blocks {
		_, ok := c.blocks[b]
		if hit = hit && ok; hit {
			p.cached += blockTokens
		}
		c.store(b)
	}
	return p
}

func (c *cache) store(block uint64) {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return
	}
	if c.limit == 0 {
		return
	}
	for c.order.Len() >= c.limit {
		last := c.order.Back()
		removed := c.order.Remove(last).(uint64)
		delete(c.blocks, removed)
		c.log.add(EventRemoved, removed, time.Now())
	}
	c.blocks[block] = c.order.PushFront(block)
	c.log.add(EventStored, block, time.Now())
}

// export returns the blocks, least recently used first, so that an import in
// this order keeps their order of use.
func (c *cache) export() []Block {
	out := []Block{}
	for e := c.order.Back(); e != nil; e = e.Prev() {
		out = append(out, Block{e.Value.(uint64)})
	}
	return out
}
