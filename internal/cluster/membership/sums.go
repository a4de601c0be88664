package membership

import (
	"crypto/sha256"
	"encoding/binary"

	"gannetline/internal/cluster/peerapi/wire"
)

// bucketCount is into how many buckets the names are hashed, so that only records of differing buckets are compared.
const bucketCount = 32

// sums are digests of records by bucket, kept up to date by change.
type sums [bucketCount]uint32

func (s *sums) toggle(bucket int, hash uint32) { s[bucket] ^= hash }

func (s *sums) total() uint32 {
	var total uint32
	for _, sum := range s {
		total ^= sum
	}
	return nonZero(total)
}

// nonZero is never 0, as that stands for a peer without sums.
func nonZero(sum uint32) uint32 { return max(sum, 1) }

func bucketOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % bucketCount
}

// hashOf is a digest of a name, an incarnation or epoch, and a state.
func hashOf(name string, version uint64, state int) uint32 {
	text := append([]byte(name), 0)
	text = binary.BigEndian.AppendUint64(text, version)
	sum := sha256.Sum256(append(text, byte(state)))
	return binary.BigEndian.Uint32(sum[:])
}

func hashOfLeader(leader wire.KeyLeader) uint32 { return hashOf(leader.Key, leader.Epoch, 0) }
