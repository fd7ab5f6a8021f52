package engine

import (
	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of a token, both in prompts and in generated text.
const TokenBytes = 4

// Text returns the text generated for a prompt, from token start (counted from 0)
// up to but excluding token end. It depends only on its arguments, so that tests
// can check the text of a continued answer.
func Text(prompt string, start, end int) string {
	seed := xxhash.Sum64String(prompt)
	b := make([]byte, 0, max(0, end-start)*TokenBytes)
	for i := start; i < end; i++ {
		b = appendToken(b, mix(seed+uint64(i)))
	}
	return string(b)
}

// appendToken adds three letters and a space.
func appendToken(b []byte, bits uint64) []byte {
	for range TokenBytes - 1 {
		b = append(b, byte('a'+bits%26))
		bits /= 26
	}
	return append(b, ' ')
}

// mix hashes x with one step of SplitMix64: increment and finalizer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countTokens returns the length of text in tokens, rounded up.
func countTokens(text string) int64 {
	return int64((len(text) + TokenBytes - 1) / TokenBytes)
}
