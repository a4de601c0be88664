package configcache

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// chunkBytes of an image go into one answer: 64 ms of a link of 2 Mbit/s.
	chunkBytes = 16 << 10
	// mostImageBytes bounds an image, packed and unpacked.
	mostImageBytes = 16 << 20
)

// Image is the compressed form of one whole version, which peers fetch in chunks.
type Image struct {
	Version int64
	// Name is the sha256 of the data, in hexadecimal.
	Name string
	data []byte
}

// Pack compresses a whole version.
func Pack(fact *wire.Configuration) (*Image, error) {
	text, err := easyjson.Marshal(fact)
	if err != nil {
		return nil, errors.Annotate(err, "writing the image of a configuration")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Annotate(err, "compressing a configuration")
	}
	if _, err := writer.Write(text); err != nil {
		return nil, errors.Annotate(err, "compressing a configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "compressing a configuration")
	}
	return &Image{fact.Version, nameOf(packed.Bytes()), packed.Bytes()}, nil
}

func nameOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Size is the length of the image in bytes.
func (i *Image) Size() int { return len(i.data) }

// Unpack gives back the version; an error says that the data are not what their name and version promise.
func (i *Image) Unpack() (*wire.Configuration, error) {
	if nameOf(i.data) != i.Name {
		return nil, errors.Errorf("the image of version %d has another digest than its name", i.Version)
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.data)), mostImageBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "decompressing version %d", i.Version)
	}
	fact := &wire.Configuration{}
	if err := easyjson.Unmarshal(text, fact); err != nil {
		return nil, errors.Annotatef(err, "reading the image of version %d", i.Version)
	}
	if fact.Version != i.Version {
		return nil, errors.Errorf("the image of version %d holds version %d", i.Version, fact.Version)
	}
	return fact, nil
}

// chunk gives the part that a call goes on with; one that names another image, or no place in this one, starts over.
func (i *Image) chunk(call *wire.ConfigurationCall) *wire.ConfigurationChunk {
	offset := 0
	if call.Image == i.Name && call.Offset > 0 && call.Offset < len(i.data) {
		offset = call.Offset
	}
	end := min(len(i.data), offset+chunkBytes)
	return &wire.ConfigurationChunk{Version: i.Version, Image: i.Name, Size: len(i.data), Offset: offset, Data: i.data[offset:end]}
}

// imageCache keeps the images whose transfers may be under way, the one that was asked for last at the end.
type imageCache struct{ images []*Image }

const mostImages = 8

func (c *imageCache) put(image *Image) {
	c.images = append(c.images, image)
	c.images = c.images[max(0, len(c.images)-mostImages):]
}

// use gives the image that a check finds, and keeps it longest.
func (c *imageCache) use(isIt func(*Image) bool) *Image {
	place := slices.IndexFunc(c.images, isIt)
	if place < 0 {
		return nil
	}
	image := c.images[place]
	c.images = append(slices.Delete(c.images, place, place+1), image)
	return image
}

// chunk answers a call from the image that it names, or else from one that changes lead on from, or from a new one. So
// a transfer goes on to its end while new versions come, and an image is made only where the changes don't reach.
func (c *imageCache) chunk(current *Version, call *wire.ConfigurationCall) (*wire.ConfigurationChunk, error) {
	named := c.use(func(image *Image) bool { return image.Name == call.Image && image.Version > call.HeldVersion })
	if named != nil {
		return named.chunk(call), nil
	}
	recent := c.use(func(image *Image) bool { return image.Version > call.HeldVersion && current.reaches(image.Version) })
	if recent != nil {
		return recent.chunk(call), nil
	}
	image, err := Pack(current.Fact)
	if err != nil {
		return nil, err
	}
	imagesPacked.Inc()
	c.put(image)
	return image.chunk(call), nil
}

// transfer is an image of which some chunks have come.
type transfer struct {
	image Image
	size  int
	from  string
}

// left is how many bytes are still missing.
func (t *transfer) left() int { return t.size - len(t.image.data) }

// fits tells whether a chunk is the next one of this image.
func (t *transfer) fits(chunk *wire.ConfigurationChunk) bool {
	isSame := chunk.Size == t.size && chunk.Version == t.image.Version
	isNext := chunk.Offset == len(t.image.data)
	return isSame && isNext && len(chunk.Data) > 0 && len(chunk.Data) <= t.left()
}

// transfers keep what came of an image when a peer goes silent; another peer may hold the same image.
type transfers struct{ open []*transfer }

const mostTransfers = 3

// next is the image to go on with at a peer: one that it sent before, or the one with the least left.
func (t *transfers) next(address string) *transfer {
	var best *transfer
	for _, begun := range t.open {
		if begun.from == address {
			return begun
		}
		if best == nil || begun.left() < best.left() {
			best = begun
		}
	}
	return best
}

// take adds a chunk; it gives the image once it is whole.
func (t *transfers) take(address string, chunk *wire.ConfigurationChunk) (*Image, error) {
	begun := t.find(chunk)
	if begun == nil {
		if chunk.Offset != 0 || chunk.Size <= 0 || chunk.Size > mostImageBytes {
			return nil, errors.Errorf("a chunk of an unknown image at %d of %d bytes", chunk.Offset, chunk.Size)
		}
		begun = t.add(&transfer{image: Image{Version: chunk.Version, Name: chunk.Image}, size: chunk.Size})
	}
	begun.from = address
	have := len(begun.image.data)
	if !begun.fits(chunk) {
		t.drop(begun)
		return nil, errors.Errorf("a chunk of %d bytes at %d of %d, and %d of %d are here", len(chunk.Data), chunk.Offset, chunk.Size, have, begun.size)
	}
	begun.image.data = append(begun.image.data, chunk.Data...)
	if begun.left() > 0 {
		return nil, nil
	}
	t.drop(begun)
	return &begun.image, nil
}

func (t *transfers) find(chunk *wire.ConfigurationChunk) *transfer {
	for _, begun := range t.open {
		if begun.image.Name == chunk.Image {
			return begun
		}
	}
	return nil
}

// add makes room by dropping the transfer that has most left.
func (t *transfers) add(begun *transfer) *transfer {
	if len(t.open) == mostTransfers {
		most := t.open[0]
		for _, other := range t.open {
			if other.left() > most.left() {
				most = other
			}
		}
		t.drop(most)
	}
	t.open = append(t.open, begun)
	return begun
}

func (t *transfers) drop(gone *transfer) {
	t.keep(func(begun *transfer) bool { return begun != gone })
}

// reached drops images that a held version makes useless.
func (t *transfers) reached(version int64) {
	t.keep(func(begun *transfer) bool { return begun.image.Version > version })
}

func (t *transfers) keep(isKept func(*transfer) bool) {
	var kept []*transfer
	for _, begun := range t.open {
		if isKept(begun) {
			kept = append(kept, begun)
		}
	}
	t.open = kept
}
