package coordination

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gannetline/internal/cluster/peerapi/wire"
)

// PartCount is the number of keys that names are distributed over. It must not change while any of the keys holds state. It equals the
// number of stewards in a small deployment, so that the loss of one steward interrupts the calls for few names. A key costs little
// (docs/design/coordination.md).
const PartCount = 8

// groupSeparator ends the group's name within a cell's name. It is part of the group's name.
const groupSeparator = "."

// KeyOf returns the replication key of the partition with the given number, which is from 0 to PartCount-1.
func KeyOf(part int) string { return wire.CoordinationKeyPrefix + strconv.Itoa(part) }

// Keys returns the replication keys of all partitions.
func Keys() []string {
	keys := make([]string, PartCount)
	for part := range keys {
		keys[part] = KeyOf(part)
	}
	return keys
}

// IsKey reports whether a replication key belongs to a partition of this package.
func IsKey(key string) bool { return strings.HasPrefix(key, wire.CoordinationKeyPrefix) }

// KeyOfName returns the replication key that holds the lock, the number or the group of cells with a name.
func KeyOfName(name string) string {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return KeyOf(int(hash.Sum32() % PartCount))
}

// GroupOf returns the group of a cell: its name up to and including the first dot, or the whole name if it has no dot.
func GroupOf(cell string) string {
	if end := strings.Index(cell, groupSeparator); end >= 0 {
		return cell[:end+len(groupSeparator)]
	}
	return cell
}
