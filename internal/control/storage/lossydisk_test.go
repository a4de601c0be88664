package storage_test

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	sectorBytes = 512
	dataFile    = "keys.db"
)

// pageBytes is the size of the data file's pages. The first two pages are bbolt's meta pages.
var pageBytes = os.Getpagesize()

// pageWrite is a write of one page. after is the contents of the page after the write.
type pageWrite struct {
	offset int
	after  []byte
}

func (w pageWrite) isMeta() bool { return w.offset < 2*pageBytes }

// lossyFile simulates the data file on a disk that may lose unsynced writes: the contents at the last sync, and the later writes in order.
type lossyFile struct {
	durable []byte
	pending []pageWrite
	// size is the file size that the process sees.
	size int
	// acceptsTornMetas gives torn meta pages a valid checksum, as if bbolt did not check it.
	acceptsTornMetas bool
}

// sync makes all pending writes durable.
func (f *lossyFile) sync() {
	f.durable = f.cached()
	f.pending = nil
}

// cached returns the contents that a process sees, including pending writes.
func (f *lossyFile) cached() []byte {
	image := make([]byte, f.size)
	copy(image, f.durable)
	for _, write := range f.pending {
		copy(image[write.offset:], write.after)
	}
	return image
}

// losePower keeps what was synced. Of each pending write it keeps all, a part or nothing at random. In a quarter of the cases it drops all
// pending writes.
func (f *lossyFile) losePower(random *rand.Rand) {
	image := make([]byte, max(len(f.durable), random.IntN(2)*f.size))
	copy(image, f.durable)
	dropsAll := random.IntN(4) == 0
	for _, write := range f.pending {
		if dropsAll || write.offset+len(write.after) > len(image) {
			continue
		}
		before := slices.Clone(image[write.offset : write.offset+len(write.after)])
		torn := tear(random, before, write.after)
		if f.acceptsTornMetas && write.isMeta() && !bytes.Equal(torn, before) && !bytes.Equal(torn, write.after) {
			writeChecksum(torn)
		}
		copy(image[write.offset:], torn)
	}
	*f = lossyFile{durable: image, size: len(image), acceptsTornMetas: f.acceptsTornMetas}
}

// tear returns what a loss of power leaves of a page write, from nothing to everything.
func tear(random *rand.Rand, before, after []byte) []byte {
	torn := slices.Clone(before)
	switch random.IntN(6) {
	case 0:
	case 1:
		copy(torn, after)
	case 2:
		for at := 0; at < len(after); at += sectorBytes {
			if random.IntN(2) == 0 {
				copy(torn[at:at+sectorBytes], after[at:])
			}
		}
	case 3:
		copy(torn[:random.IntN(len(after))], after)
	// A meta lies at the start of its page. The last two cases often tear the page within the meta.
	case 4:
		copy(torn[:random.IntN(128)], after)
	default:
		start := random.IntN(128)
		copy(torn[start:], after[start:])
	}
	return torn
}

// The offsets in a meta page: the meta follows the page header, and the checksum follows the fields that it covers.
const (
	metaStart     = 16
	checksumStart = metaStart + 56
)

// writeChecksum updates the checksum of a meta page.
func writeChecksum(page []byte) {
	sum := fnv.New64a()
	sum.Write(page[metaStart:checksumStart])
	binary.NativeEndian.PutUint64(page[checksumStart:], sum.Sum64())
}

// commitSteps are the steps of a bbolt transaction: grow the file and sync, write the data pages and sync, write a meta page and sync.
type commitSteps struct {
	size int
	data []pageWrite
	meta []pageWrite
}

// diffSteps derives the steps of a transaction from the file contents before and after it.
func diffSteps(before, after []byte) commitSteps {
	steps := commitSteps{size: len(after)}
	for offset := 0; offset < len(after); offset += pageBytes {
		page := after[offset:min(offset+pageBytes, len(after))]
		var previous []byte
		if offset < len(before) {
			previous = before[offset:min(offset+pageBytes, len(before))]
		}
		if bytes.Equal(page, previous) || previous == nil && !slices.ContainsFunc(page, func(b byte) bool { return b != 0 }) {
			continue
		}
		write := pageWrite{offset, slices.Clone(page)}
		if write.isMeta() {
			steps.meta = append(steps.meta, write)
		} else {
			steps.data = append(steps.data, write)
		}
	}
	return steps
}

// apply applies the steps to a file up to a moment of the transaction.
func (s commitSteps) apply(file *lossyFile, until commitMoment, random *rand.Rand) {
	file.size = max(file.size, s.size)
	if until == whileGrowing {
		return
	}
	if len(s.data) > 0 && s.size > len(file.durable) {
		file.sync()
	}
	data := slices.Clone(s.data)
	if until == whileWritingData {
		data = data[:random.IntN(len(data)+1)]
	}
	file.pending = append(file.pending, data...)
	if until == whileWritingData {
		return
	}
	file.sync()
	file.pending = append(file.pending, s.meta...)
	if until == whileWritingMeta {
		return
	}
	file.sync()
}

// commitMoment is a moment of a transaction at which a process may end.
type commitMoment int

const (
	whileGrowing commitMoment = iota
	whileWritingData
	whileWritingMeta
	afterCommit
	// commitMoments is the number of moments.
	commitMoments
)

// readDataFile returns the contents of the data file in a folder, or nil if there is none.
func readDataFile(folder string) []byte {
	image, err := os.ReadFile(filepath.Join(folder, dataFile))
	if err != nil && !os.IsNotExist(err) {
		panic(err)
	}
	return image
}

// sortPairs returns pairs in the order in which Store.Read returns them.
func sortPairs(pairs map[string][]byte) []wire.Op {
	var sorted []wire.Op
	for _, name := range slices.Sorted(maps.Keys(pairs)) {
		sorted = append(sorted, wire.Op{Name: name, Value: pairs[name]})
	}
	return sorted
}

func isSameState(a, b wire.Snapshot) bool {
	return a.Last == b.Last && slices.EqualFunc(a.Pairs, b.Pairs, func(a, b wire.Op) bool { return a.Name == b.Name && bytes.Equal(a.Value, b.Value) })
}
