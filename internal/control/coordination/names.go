package coordination

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gannetline/internal/cluster/peerapi/wire"
)

// Parts is how many keys the names are divided among. It must not change while any of them holds state. As many as there are stewards in
// a small deployment: the loss of one stops the calls about few names, and a key costs little (docs/design/coordination.md).
const Parts = 8

// groupSeparator ends the name of a group within that of a cell; the group's name has it, too.
const groupSeparator = "."

// KeyOf is the key of a part.
func KeyOf(part int) string { return wire.CoordinationKeyPrefix + strconv.Itoa(part) }

// Keys are the keys of all parts.
func Keys() []string {
	keys := make([]string, Parts)
	for part := range keys {
		keys[part] = KeyOf(part)
	}
	return keys
}

// IsKey tells whether a key is that of a part.
func IsKey(key string) bool { return strings.HasPrefix(key, wire.CoordinationKeyPrefix) }

// KeyOfName is the key that holds a lock, a number or a group of cells.
func KeyOfName(name string) string {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return KeyOf(int(hash.Sum32() % Parts))
}

// GroupOf is the group of a cell: what its name begins with up to the first dot, or all of a name without a dot.
func GroupOf(cell string) string {
	if end := strings.Index(cell, groupSeparator); end >= 0 {
		return cell[:end+len(groupSeparator)]
	}
	return cell
}
