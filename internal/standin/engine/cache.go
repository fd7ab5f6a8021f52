package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

// blockTokens is the unit in which prompt prefixes are cached.
const blockTokens = 256

// cache is an LRU cache of blocks of prompt prefixes. The key of a block is the
// hash of the model's name, a newline and the prompt up to the end of the block.
type cache struct {
	limitTokens int64
	lru         *list.List
	blocks      map[uint64]*list.Element
	notify      func(prefix uint64, tokens int64, evicted bool)
}

// block is an entry of the cache.
type block struct {
	prefix uint64 // hash of the prefix that ends with the block
	tokens int64  // length of the prefix that ends with the block
}

func newCache(limit int64, notify func(prefix uint64, tokens int64, evicted bool)) *cache {
	return &cache{limitTokens: limit, lru: list.New(), blocks: map[uint64]*list.Element{}, notify: notify}
}

// Prefix returns the fingerprint that cache events have for the first tokens of
// a prompt. It is the 64-bit xxHash of the model's name with adapter, a newline
// and the text.
func Prefix(model, prompt string, tokens int64) oleanderspool.Fingerprint {
	return oleanderspool.Fingerprint(xxhash.Sum64String(model + "\n" + prompt[:tokens*TokenBytes]))
}

// prefixes returns the prefix hashes of all complete blocks of a prompt.
func prefixes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\n")
	const size = blockTokens * TokenBytes
	sums := make([]uint64, 0, len(prompt)/size)
	for end := size; end <= len(prompt); end += size {
		_, _ = digest.WriteString(prompt[end-size : end])
		sums = append(sums, digest.Sum64())
	}
	return sums
}

// match returns how many leading tokens of a prompt are cached, and marks their
// blocks as recently used.
func (c *cache) match(prefixes []uint64) int64 {
	tokens := int64(0)
	for _, p := range prefixes {
		e, found := c.blocks[p]
		if !found {
			break
		}
		c.lru.MoveToFront(e)
		tokens += blockTokens
	}
	return tokens
}

// insert caches the blocks of a prompt, given by their prefix hashes.
func (c *cache) insert(prefixes []uint64) {
	for i, p := range prefixes {
		if e, found := c.blocks[p]; found {
			c.lru.MoveToFront(e)
			continue
		}
		b := block{prefix: p, tokens: int64(i+1) * blockTokens}
		if b.tokens > c.limitTokens {
			return
		}
		c.blocks[p] = c.lru.PushFront(b)
		c.notify(p, b.tokens, false)
	}
	c.evict()
}

func (c *cache) evict() {
	for int64(c.lru.Len())*blockTokens > c.limitTokens {
		e := c.lru.Back()
		b := c.lru.Remove(e).(block)
		delete(c.blocks, b.prefix)
		c.notify(b.prefix, b.tokens, true)
	}
}
