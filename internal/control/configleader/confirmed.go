package configleader

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	confirmedPrefix = "confirmed/"
	// maxConfirmed records are kept; with the name and the digest each takes some 100 bytes.
	maxConfirmed = 2048
	// maxConfirmedInRecord is how many the older form kept in the configuration's own record.
	maxConfirmedInRecord = 64
)

// confirmedVersions remembers which body was confirmed under each version, so that a call that is sent again is confirmed again
// after any number of other changes. A version is confirmed once: the next one is always above it.
type confirmedVersions struct {
	digests map[int64]string
	// versions are those of the digests, ascending.
	versions []int64
	// forgotten is the newest version whose record was dropped, 0 if none was.
	forgotten int64
	// unwritten were read in the form of an earlier version, and get records of their own with the next commit.
	unwritten []wire.ConfirmedVersion
}

// digestOf is the whole sha256: two bodies under one number are told apart without a thought about chances. The space
// around a body doesn't count, as some transports drop it.
func digestOf(body []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(body))
	return hex.EncodeToString(sum[:])
}

// earlierDigestOf is what the older form kept: eight bytes, of the body with the space around it.
func earlierDigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// readConfirmed takes the records of a key, and what the older form kept in the configuration itself.
func readConfirmed(pairs []wire.Op, committed *wire.Configuration) (*confirmedVersions, error) {
	read := &confirmedVersions{digests: map[int64]string{}}
	for _, pair := range pairs {
		if !strings.HasPrefix(pair.Name, confirmedPrefix) {
			continue
		}
		var record wire.ConfirmedVersion
		if err := easyjson.Unmarshal(pair.Value, &record); err != nil {
			return nil, errors.Annotatef(err, "reading %s from disk", pair.Name)
		}
		read.digests[record.Version] = record.Digest
	}
	if committed != nil {
		read.forgotten = committed.Forgotten
		read.addFromEarlierVersion(committed.Confirmed)
	}
	for version := range read.digests {
		read.versions = append(read.versions, version)
	}
	slices.Sort(read.versions)
	return read, nil
}

// addFromEarlierVersion takes the records of an earlier version. A full list may have lost the versions before its first.
func (c *confirmedVersions) addFromEarlierVersion(earlier []wire.ConfirmedVersion) {
	for _, record := range earlier {
		if c.digests[record.Version] == "" {
			c.digests[record.Version] = record.Digest
			c.unwritten = append(c.unwritten, record)
		}
	}
	if len(earlier) >= maxConfirmedInRecord {
		c.forgotten = max(c.forgotten, earlier[0].Version-1)
	}
}

// has tells whether that very body was confirmed under the version.
func (c *confirmedVersions) has(version int64, body []byte) bool {
	digest := c.digests[version]
	return digest != "" && (digest == digestOf(body) || digest == earlierDigestOf(body))
}

// isForgotten tells whether a version may have been confirmed too long ago to know.
func (c *confirmedVersions) isForgotten(version int64) bool { return version <= c.forgotten }

// confirmation is what one more confirmed version writes and drops.
type confirmation struct {
	added     wire.ConfirmedVersion
	dropped   []int64
	forgotten int64
	ops       []wire.Op
}

// prepare works out the records of one more version, and changes nothing before it is committed.
func (c *confirmedVersions) prepare(version int64, body []byte) (*confirmation, error) {
	next := &confirmation{added: wire.ConfirmedVersion{Version: version, Digest: digestOf(body)}, forgotten: c.forgotten}
	if excess := len(c.versions) + 1 - maxConfirmed; excess > 0 {
		next.dropped = slices.Clone(c.versions[:excess])
		next.forgotten = next.dropped[excess-1]
	}
	for _, record := range append(slices.Clone(c.unwritten), next.added) {
		value, err := easyjson.Marshal(record)
		if err != nil {
			return nil, errors.Annotatef(err, "writing the record of version %d", record.Version)
		}
		next.ops = append(next.ops, wire.Op{Name: recordName(record.Version), Value: value})
	}
	for _, dropped := range next.dropped {
		next.ops = append(next.ops, wire.Op{Name: recordName(dropped)})
	}
	return next, nil
}

func recordName(version int64) string { return confirmedPrefix + strconv.FormatInt(version, 10) }

// apply notes that the records are committed.
func (c *confirmedVersions) apply(next *confirmation) {
	for _, dropped := range next.dropped {
		delete(c.digests, dropped)
	}
	c.versions = append(c.versions[len(next.dropped):], next.added.Version)
	c.digests[next.added.Version] = next.added.Digest
	c.forgotten, c.unwritten = next.forgotten, nil
}
