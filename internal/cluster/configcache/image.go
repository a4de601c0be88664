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
	// chunkBytes is the maximum number of bytes of an image in one answer. In base64 they take 87 ms on a link of 2 Mbit/s.
	chunkBytes = 16 << 10
	// maxImageBytes is the maximum size of an image, both compressed and decompressed.
	maxImageBytes = 16 << 20
)

// Image is one version in compressed form, as peers fetch it in chunks.
type Image struct {
	Version int64
	// Name is the hexadecimal sha256 of the compressed data.
	Name string
	data []byte
}

// Pack makes the image of a committed configuration.
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

// Size is the compressed length of the image in bytes.
func (i *Image) Size() int { return len(i.data) }

// Unpack decompresses the image. It fails if the data don't match the image's name and version.
func (i *Image) Unpack() (*wire.Configuration, error) {
	if digestOfImage(i.data) != i.Name {
		return nil, errors.Annotatef(ErrBadImage, "the digest of the image of version %d is not its name", i.Version)
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
		return nil, errors.Annotatef(ErrBadImage, "the image of version %d holds version %d", i.Version, committed.Version)
	}
	return committed, nil
}

// chunk returns the chunk at the offset that a call asks for. A call that names another image, or an offset outside of this one, gets
// the first chunk.
func (i *Image) chunk(call *wire.ConfigurationCall) *wire.ConfigurationChunk {
	offset := 0
	if call.Image == i.Name && call.Offset > 0 && call.Offset < len(i.data) {
		offset = call.Offset
	}
	end := min(len(i.data), offset+chunkBytes)
	return &wire.ConfigurationChunk{Version: i.Version, Image: i.Name, Size: len(i.data), Offset: offset, Data: i.data[offset:end]}
}

// imageCache keeps the images that peers may be fetching, the most recently used last.
type imageCache struct{ images []*Image }

// maxImages is how many images a process keeps for its peers.
const maxImages = 8

func (c *imageCache) put(image *Image) {
	c.images = append(c.images, image)
	c.images = c.images[max(0, len(c.images)-maxImages):]
}

// touch returns the first matching image, nil if there is none, and makes it the most recently used.
func (c *imageCache) touch(matches func(*Image) bool) *Image {
	index := slices.IndexFunc(c.images, matches)
	if index < 0 {
		return nil
	}
	image := c.images[index]
	c.images = append(slices.Delete(c.images, index, index+1), image)
	return image
}

// chunk returns the chunk that answers a call. It comes from the image that the call names, so that a transfer ends even if newer versions
// come meanwhile. If that image isn't kept, it comes from one from whose version the kept deltas lead to the current one. Only if there is
// none either, chunk makes an image of the current version.
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

// imageTransfer is an image of which only the first chunks were received so far. from is the address that sent the last of them.
type imageTransfer struct {
	image Image
	size  int
	from  string
}

// remaining is how many bytes of the image are still missing.
func (t *imageTransfer) remaining() int { return t.size - len(t.image.data) }

// isNextChunk reports whether a chunk is the next one of this image.
func (t *imageTransfer) isNextChunk(chunk *wire.ConfigurationChunk) bool {
	isSameImage := chunk.Size == t.size && chunk.Version == t.image.Version
	isNextOffset := chunk.Offset == len(t.image.data)
	return isSameImage && isNextOffset && len(chunk.Data) > 0 && len(chunk.Data) <= t.remaining()
}

// imageTransfers keeps the received chunks of images, also after a peer has stopped answering, as another peer may hold the same image.
type imageTransfers struct{ incomplete []*imageTransfer }

// maxTransfers is how many incomplete images a process keeps.
const maxTransfers = 3

// resumable returns the transfer to resume at a peer: one whose last chunk came from that peer, else the one with the fewest bytes missing.
// It returns nil if there are no transfers.
func (t *imageTransfers) resumable(address string) *imageTransfer {
	var shortest *imageTransfer
	for _, transfer := range t.incomplete {
		if transfer.from == address {
			return transfer
		}
		if shortest == nil || transfer.remaining() < shortest.remaining() {
			shortest = transfer
		}
	}
	return shortest
}

// addChunk adds a received chunk to its image. It returns the image once it is complete, nil before.
func (t *imageTransfers) addChunk(address string, chunk *wire.ConfigurationChunk) (*Image, error) {
	transfer := t.find(chunk)
	if transfer == nil {
		if chunk.Offset != 0 || chunk.Size <= 0 || chunk.Size > maxImageBytes {
			return nil, errors.Annotatef(ErrBadChunk, "chunk of an unknown image at offset %d of %d bytes", chunk.Offset, chunk.Size)
		}
		transfer = t.add(&imageTransfer{image: Image{Version: chunk.Version, Name: chunk.Image}, size: chunk.Size})
	}
	transfer.from = address
	received := len(transfer.image.data)
	if !transfer.isNextChunk(chunk) {
		t.drop(transfer)
		return nil, errors.Annotatef(ErrBadChunk, "chunk of %d bytes at offset %d of %d, but %d of %d bytes were received", len(chunk.Data), chunk.Offset, chunk.Size, received, transfer.size)
	}
	transfer.image.data = append(transfer.image.data, chunk.Data...)
	if transfer.remaining() > 0 {
		return nil, nil
	}
	t.drop(transfer)
	return &transfer.image, nil
}

func (t *imageTransfers) find(chunk *wire.ConfigurationChunk) *imageTransfer {
	for _, transfer := range t.incomplete {
		if transfer.image.Name == chunk.Image {
			return transfer
		}
	}
	return nil
}

// add appends a transfer. If maxTransfers are kept already, the one with the most bytes missing is dropped first.
func (t *imageTransfers) add(transfer *imageTransfer) *imageTransfer {
	if len(t.incomplete) == maxTransfers {
		longest := t.incomplete[0]
		for _, other := range t.incomplete {
			if other.remaining() > longest.remaining() {
				longest = other
			}
		}
		t.drop(longest)
	}
	t.incomplete = append(t.incomplete, transfer)
	return transfer
}

func (t *imageTransfers) drop(dropped *imageTransfer) {
	t.keep(func(transfer *imageTransfer) bool { return transfer != dropped })
}

// dropUpTo drops the transfers of the given version and older ones, which are no longer needed once that version is in force.
func (t *imageTransfers) dropUpTo(version int64) {
	t.keep(func(transfer *imageTransfer) bool { return transfer.image.Version > version })
}

// keep drops the transfers for which isKept is false.
func (t *imageTransfers) keep(isKept func(*imageTransfer) bool) {
	var kept []*imageTransfer
	for _, transfer := range t.incomplete {
		if isKept(transfer) {
			kept = append(kept, transfer)
		}
	}
	t.incomplete = kept
}
