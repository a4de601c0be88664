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
	// maxImageBytes bounds an image, packed and unpacked.
	maxImageBytes = 16 << 20
)

// Image is the compressed form of one version, which peers fetch in chunks.
type Image struct {
	Version int64
	// Name is the sha256 of the data, in hexadecimal.
	Name string
	data []byte
}

// Pack compresses a version.
func Pack(committed *wire.Configuration) (*Image, error) {
	text, err := easyjson.Marshal(committed)
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
	return &Image{committed.Version, digestOfImage(packed.Bytes()), packed.Bytes()}, nil
}

func digestOfImage(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Size is the length of the image in bytes.
func (i *Image) Size() int { return len(i.data) }

// Unpack gives back the version; an error says that the data are not what their name and version promise.
func (i *Image) Unpack() (*wire.Configuration, error) {
	if digestOfImage(i.data) != i.Name {
		return nil, errors.Annotatef(ErrBadImage, "version %d has another digest than its name", i.Version)
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.data)), maxImageBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "decompressing version %d", i.Version)
	}
	committed := &wire.Configuration{}
	if err := easyjson.Unmarshal(text, committed); err != nil {
		return nil, errors.Annotatef(err, "reading the image of version %d", i.Version)
	}
	if committed.Version != i.Version {
		return nil, errors.Annotatef(ErrBadImage, "that of version %d holds version %d", i.Version, committed.Version)
	}
	return committed, nil
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

const maxImages = 8

func (c *imageCache) put(image *Image) {
	c.images = append(c.images, image)
	c.images = c.images[max(0, len(c.images)-maxImages):]
}

// touch gives the image that a check finds, and keeps it longest.
func (c *imageCache) touch(matches func(*Image) bool) *Image {
	index := slices.IndexFunc(c.images, matches)
	if index < 0 {
		return nil
	}
	image := c.images[index]
	c.images = append(slices.Delete(c.images, index, index+1), image)
	return image
}

// chunk answers a call from the image that it names, or else from one that changes lead on from, or from a new one. So
// a transfer goes on to its end while new versions come, and an image is made only where the changes don't reach.
func (c *imageCache) chunk(current *Version, call *wire.ConfigurationCall) (*wire.ConfigurationChunk, error) {
	named := c.touch(func(image *Image) bool { return image.Name == call.Image && image.Version > call.HeldVersion })
	if named != nil {
		return named.chunk(call), nil
	}
	recent := c.touch(func(image *Image) bool {
		return image.Version > call.HeldVersion && current.isReachableFrom(image.Version)
	})
	if recent != nil {
		return recent.chunk(call), nil
	}
	image, err := Pack(current.Committed)
	if err != nil {
		return nil, err
	}
	imagesPacked.Inc()
	c.put(image)
	return image.chunk(call), nil
}

// imageTransfer is an image of which some chunks have come.
type imageTransfer struct {
	image Image
	size  int
	from  string
}

// remaining is how many bytes are still missing.
func (t *imageTransfer) remaining() int { return t.size - len(t.image.data) }

// fits tells whether a chunk is the next one of this image.
func (t *imageTransfer) fits(chunk *wire.ConfigurationChunk) bool {
	isSame := chunk.Size == t.size && chunk.Version == t.image.Version
	isNext := chunk.Offset == len(t.image.data)
	return isSame && isNext && len(chunk.Data) > 0 && len(chunk.Data) <= t.remaining()
}

// imageTransfers keep what came of an image when a peer goes silent; another peer may hold the same image.
type imageTransfers struct{ underway []*imageTransfer }

const maxTransfers = 3

// resumable is the image to go on with at a peer: one that it sent before, or the one with the least left.
func (t *imageTransfers) resumable(address string) *imageTransfer {
	var shortest *imageTransfer
	for _, transfer := range t.underway {
		if transfer.from == address {
			return transfer
		}
		if shortest == nil || transfer.remaining() < shortest.remaining() {
			shortest = transfer
		}
	}
	return shortest
}

// take adds a chunk; it gives the image once it is complete.
func (t *imageTransfers) take(address string, chunk *wire.ConfigurationChunk) (*Image, error) {
	transfer := t.find(chunk)
	if transfer == nil {
		if chunk.Offset != 0 || chunk.Size <= 0 || chunk.Size > maxImageBytes {
			return nil, errors.Annotatef(ErrBadChunk, "of an unknown image at %d of %d bytes", chunk.Offset, chunk.Size)
		}
		transfer = t.add(&imageTransfer{image: Image{Version: chunk.Version, Name: chunk.Image}, size: chunk.Size})
	}
	transfer.from = address
	received := len(transfer.image.data)
	if !transfer.fits(chunk) {
		t.drop(transfer)
		return nil, errors.Annotatef(ErrBadChunk, "%d bytes at %d of %d, and %d of %d are here", len(chunk.Data), chunk.Offset, chunk.Size, received, transfer.size)
	}
	transfer.image.data = append(transfer.image.data, chunk.Data...)
	if transfer.remaining() > 0 {
		return nil, nil
	}
	t.drop(transfer)
	return &transfer.image, nil
}

func (t *imageTransfers) find(chunk *wire.ConfigurationChunk) *imageTransfer {
	for _, transfer := range t.underway {
		if transfer.image.Name == chunk.Image {
			return transfer
		}
	}
	return nil
}

// add makes room by dropping the transfer that has most left.
func (t *imageTransfers) add(transfer *imageTransfer) *imageTransfer {
	if len(t.underway) == maxTransfers {
		longest := t.underway[0]
		for _, other := range t.underway {
			if other.remaining() > longest.remaining() {
				longest = other
			}
		}
		t.drop(longest)
	}
	t.underway = append(t.underway, transfer)
	return transfer
}

func (t *imageTransfers) drop(dropped *imageTransfer) {
	t.keep(func(transfer *imageTransfer) bool { return transfer != dropped })
}

// reached drops images that the version in force makes useless.
func (t *imageTransfers) reached(version int64) {
	t.keep(func(transfer *imageTransfer) bool { return transfer.image.Version > version })
}

// keep drops the transfers that isKept is false for.
func (t *imageTransfers) keep(isKept func(*imageTransfer) bool) {
	var kept []*imageTransfer
	for _, transfer := range t.underway {
		if isKept(transfer) {
			kept = append(kept, transfer)
		}
	}
	t.underway = kept
}
