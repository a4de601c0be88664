package membership

import (
	"crypto/sha256"
	"encoding/binary"

	"gannetline/internal/cluster/peerapi/wire"
)

// bucketCount is the number of buckets into which the names of members are hashed. Two processes compare only the records of buckets that
// differ.
const bucketCount = 32

// sums holds for each bucket the XOR of the hashes of its records, so that a change of one record updates its bucket alone.
type sums [bucketCount]uint32

// toggle adds a hash to a bucket, or removes it if the bucket includes it.
func (s *sums) toggle(bucket int, hash uint32) { s[bucket] ^= hash }

// total returns the sum of all buckets; it is never 0.
func (s *sums) total() uint32 {
	var total uint32
	for _, sum := range s {
		total ^= sum
	}
	return nonZero(total)
}

// nonZero replaces a sum of 0 by 1, because 0 on the wire stands for a peer of an earlier version without sums.
func nonZero(sum uint32) uint32 { return max(sum, 1) }

func bucketOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % bucketCount
}

// hashOf hashes a name with its version, which is an incarnation or an epoch, and a state.
func hashOf(name string, version uint64, state int) uint32 {
	text := append([]byte(name), 0)
	text = binary.BigEndian.AppendUint64(text, version)
	sum := sha256.Sum256(append(text, byte(state)))
	return binary.BigEndian.Uint32(sum[:])
}

func hashOfLeader(leader wire.KeyLeader) uint32 { return hashOf(leader.Key, leader.Epoch, 0) }
