package engine

import (
	"container/list"
	"hash/fnv"
	"io"
	"time"
)

// blockTokens is the number of tokens in a block of the prefix cache. Only whole
// blocks are cached.
const blockTokens = 16

// prompt is the prompt of a request and the part of it that the cache holds.
type prompt struct {
	blocks []uint64 // for each whole block, the hash of the prompt up to its end
	tokens int
	cached int // tokens found in the cache
}

// newPrompt splits a prompt into blocks. A word counts as one token.
func newPrompt(words []string) prompt {
	p := prompt{tokens: len(words)}
	h := fnv.New64a()
	for i, w := range words {
		_, _ = io.WriteString(h, w+" ") // a hash.Hash never returns an error
		if (i+1)%blockTokens == 0 {
			p.blocks = append(p.blocks, h.Sum64())
		}
	}
	return p
}

// cache is a prefix cache of limited size. It evicts the least recently used
// block.
type cache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	recency   *list.List // most recently used first
	log       eventLog
}

func newCache(tokens, dropEvery int) *cache {
	return &cache{maxBlocks: tokens / blockTokens, blocks: map[uint64]*list.Element{}, recency: list.New(), log: eventLog{dropEvery: dropEvery}}
}

// tokens returns the number of cached tokens.
func (c *cache) tokens() int { return c.recency.Len() * blockTokens }

// lookupAndStore looks up a prompt, stores its blocks and returns it with the
// number of tokens that were cached before.
func (c *cache) lookupAndStore(p prompt) prompt {
	prefixCached := true
	for _, b := range p.blocks {
		_, ok := c.blocks[b]
		if prefixCached = prefixCached && ok; prefixCached {
			p.cached += blockTokens
		}
		c.store(b)
	}
	return p
}

// store adds a block, or marks a cached one as the most recently used.
func (c *cache) store(block uint64) {
	if e, ok := c.blocks[block]; ok {
		c.recency.MoveToFront(e)
		return
	}
	if c.maxBlocks == 0 {
		return
	}
	for c.recency.Len() >= c.maxBlocks {
		last := c.recency.Back()
		evicted := c.recency.Remove(last).(uint64)
		delete(c.blocks, evicted)
		c.log.add(EventRemoved, evicted, time.Now())
	}
	c.blocks[block] = c.recency.PushFront(block)
	c.log.add(EventStored, block, time.Now())
}

// export returns the blocks, least recently used first, so that an import in
// this order preserves the order of eviction.
func (c *cache) export() []Block {
	out := []Block{}
	for e := c.recency.Back(); e != nil; e = e.Prev() {
		out = append(out, Block{e.Value.(uint64)})
	}
	return out
}
