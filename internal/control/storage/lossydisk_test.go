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

// pageBytes is the size of the data file's pages; the first two hold the metas.
var pageBytes = os.Getpagesize()

// pageWrite is a write to a page that no sync has covered yet.
type pageWrite struct {
	offset int
	after  []byte
}

func (w pageWrite) isMeta() bool { return w.offset < 2*pageBytes }

// lossyFile is the data file as a loss of power may leave it: what the last sync covered, and the writes since, in their order.
type lossyFile struct {
	durable []byte
	pending []pageWrite
	// size is that of the file as the process sees it.
	size int
	// acceptsTornMetas makes the checksum of each torn meta fit, as if it were not looked at.
	acceptsTornMetas bool
}

// sync makes everything durable.
func (f *lossyFile) sync() {
	f.durable = f.cached()
	f.pending = nil
}

// cached is the file as a process sees it, with all writes.
func (f *lossyFile) cached() []byte {
	image := make([]byte, f.size)
	copy(image, f.durable)
	for _, write := range f.pending {
		copy(image[write.offset:], write.after)
	}
	return image
}

// losePower keeps what was synced; of each later write all, nothing or a part, now and then nothing of any.
func (f *lossyFile) losePower(draw *rand.Rand) {
	image := make([]byte, max(len(f.durable), draw.IntN(2)*f.size))
	copy(image, f.durable)
	takesAllAway := draw.IntN(4) == 0
	for _, write := range f.pending {
		if takesAllAway || write.offset+len(write.after) > len(image) {
			continue
		}
		before := slices.Clone(image[write.offset : write.offset+len(write.after)])
		torn := tear(draw, before, write.after)
		if f.acceptsTornMetas && write.isMeta() && !bytes.Equal(torn, before) && !bytes.Equal(torn, write.after) {
			fitChecksum(torn)
		}
		copy(image[write.offset:], torn)
	}
	*f = lossyFile{durable: image, size: len(image), acceptsTornMetas: f.acceptsTornMetas}
}

// tear gives what a loss of power leaves of a page that was being written.
func tear(draw *rand.Rand, before, after []byte) []byte {
	torn := slices.Clone(before)
	switch draw.IntN(6) {
	case 0:
	case 1:
		copy(torn, after)
	case 2:
		for at := 0; at < len(after); at += sectorBytes {
			if draw.IntN(2) == 0 {
				copy(torn[at:at+sectorBytes], after[at:])
			}
		}
	case 3:
		copy(torn[:draw.IntN(len(after))], after)
	// The head of a page holds a meta; the last two often tear it in its midst.
	case 4:
		copy(torn[:draw.IntN(128)], after)
	default:
		start := draw.IntN(128)
		copy(torn[start:], after[start:])
	}
	return torn
}

// The place of the checksum in a page with a meta, behind the page's header and the fields that it covers.
const (
	metaStart     = 16
	checksumStart = metaStart + 56
)

// fitChecksum writes the checksum that fits a meta.
func fitChecksum(page []byte) {
	sum := fnv.New64a()
	sum.Write(page[metaStart:checksumStart])
	binary.NativeEndian.PutUint64(page[checksumStart:], sum.Sum64())
}

// commitSteps are the writes of a transaction: bbolt makes the file larger and syncs that, writes data pages and syncs them, and
// writes a meta and syncs it.
type commitSteps struct {
	size int
	data []pageWrite
	meta []pageWrite
}

// stepsBetween works out a transaction from the file before and after it.
func stepsBetween(before, after []byte) commitSteps {
	steps := commitSteps{size: len(after)}
	for offset := 0; offset < len(after); offset += pageBytes {
		page := after[offset:min(offset+pageBytes, len(after))]
		var former []byte
		if offset < len(before) {
			former = before[offset:min(offset+pageBytes, len(before))]
		}
		if bytes.Equal(page, former) || former == nil && !slices.ContainsFunc(page, func(b byte) bool { return b != 0 }) {
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

// apply carries out the steps up to a moment of the transaction.
func (s commitSteps) apply(file *lossyFile, until commitMoment, draw *rand.Rand) {
	file.size = max(file.size, s.size)
	if until == whileGrowing {
		return
	}
	if len(s.data) > 0 && s.size > len(file.durable) {
		file.sync()
	}
	data := slices.Clone(s.data)
	if until == whileWritingData {
		data = data[:draw.IntN(len(data)+1)]
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

// commitMoment is a moment of a transaction.
type commitMoment int

const (
	whileGrowing commitMoment = iota
	whileWritingData
	whileWritingMeta
	afterCommit
	commitMoments
)

// read reads the data file of a folder; it is empty if there is none.
func read(folder string) []byte {
	image, err := os.ReadFile(filepath.Join(folder, dataFile))
	if err != nil && !os.IsNotExist(err) {
		panic(err)
	}
	return image
}

// sortedPairs are pairs as the store reads them.
func sortedPairs(pairs map[string][]byte) []wire.Op {
	var sorted []wire.Op
	for _, name := range slices.Sorted(maps.Keys(pairs)) {
		sorted = append(sorted, wire.Op{Name: name, Value: pairs[name]})
	}
	return sorted
}

func sameState(a, b wire.Snapshot) bool {
	return a.Last == b.Last && slices.EqualFunc(a.Pairs, b.Pairs, func(a, b wire.Op) bool { return a.Name == b.Name && bytes.Equal(a.Value, b.Value) })
}
