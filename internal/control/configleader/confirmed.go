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
	// maxConfirmed is the maximum number of records. A record takes about 100 bytes with its name and digest.
	maxConfirmed = 2048
	// maxConfirmedInRecord is the maximum number of confirmed versions in the older format, a list in the configuration's own record.
	maxConfirmedInRecord = 64
)

// confirmedVersions holds the digest of the body that was confirmed under each version, so that a repeated call is confirmed again even after
// many other changes. No version is confirmed with two bodies, because each new version is higher than the last.
type confirmedVersions struct {
	// digests are the digests of the confirmed bodies by version.
	digests map[int64]string
	// versions are the keys of digests in ascending order.
	versions []int64
	// forgotten is the newest version whose record was dropped, 0 if none was.
	forgotten int64
	// unwritten are versions that were read in the older format. The next commit writes a record for each.
	unwritten []wire.ConfirmedVersion
}

// digestOf returns the SHA-256 digest of a body. It is not truncated, so that two bodies with the same version can't collide in practice. The
// digest ignores white space around the body, because some transports drop it.
func digestOf(body []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(body))
	return hex.EncodeToString(sum[:])
}

// legacyDigestOf returns the digest of the older format: eight bytes of the digest of the body including the white space around it.
func legacyDigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// readConfirmed reads the confirmed versions from their records and, in the older format, from the configuration's own record.
func readConfirmed(pairs []wire.Op, committed *wire.Configuration) (*confirmedVersions, error) {
	confirmed := &confirmedVersions{digests: map[int64]string{}}
	for _, pair := range pairs {
		if !strings.HasPrefix(pair.Name, confirmedPrefix) {
			continue
		}
		var record wire.ConfirmedVersion
		if err := easyjson.Unmarshal(pair.Value, &record); err != nil {
			return nil, errors.Annotatef(err, "decoding record %s", pair.Name)
		}
		confirmed.digests[record.Version] = record.Digest
	}
	if committed != nil {
		confirmed.forgotten = committed.Forgotten
		confirmed.addLegacy(committed.Confirmed)
	}
	for version := range confirmed.digests {
		confirmed.versions = append(confirmed.versions, version)
	}
	slices.Sort(confirmed.versions)
	return confirmed, nil
}

// addLegacy adds the confirmed versions of the older format. If that list is full, versions below its first may have been dropped from it.
func (c *confirmedVersions) addLegacy(legacy []wire.ConfirmedVersion) {
	for _, record := range legacy {
		if c.digests[record.Version] == "" {
			c.digests[record.Version] = record.Digest
			c.unwritten = append(c.unwritten, record)
		}
	}
	if len(legacy) >= maxConfirmedInRecord {
		c.forgotten = max(c.forgotten, legacy[0].Version-1)
	}
}

// has reports whether this body was confirmed under the version.
func (c *confirmedVersions) has(version int64, body []byte) bool {
	digest := c.digests[version]
	return digest != "" && (digest == digestOf(body) || digest == legacyDigestOf(body))
}

// isForgotten reports whether the record of a version may have been dropped, so that it is unknown whether the version was confirmed.
func (c *confirmedVersions) isForgotten(version int64) bool { return version <= c.forgotten }

// recordChanges holds the changes that one more confirmed version makes to the records.
type recordChanges struct {
	added     wire.ConfirmedVersion
	dropped   []int64
	forgotten int64
	ops       []wire.Op
}

// prepare returns the changes for one more confirmed version. The receiver changes only when apply is called after the commit.
func (c *confirmedVersions) prepare(version int64, body []byte) (*recordChanges, error) {
	changes := &recordChanges{added: wire.ConfirmedVersion{Version: version, Digest: digestOf(body)}, forgotten: c.forgotten}
	if excess := len(c.versions) + 1 - maxConfirmed; excess > 0 {
		changes.dropped = slices.Clone(c.versions[:excess])
		changes.forgotten = changes.dropped[excess-1]
	}
	for _, record := range append(slices.Clone(c.unwritten), changes.added) {
		value, err := easyjson.Marshal(record)
		if err != nil {
			return nil, errors.Annotatef(err, "encoding the record of confirmed version %d", record.Version)
		}
		changes.ops = append(changes.ops, wire.Op{Name: recordName(record.Version), Value: value})
	}
	for _, dropped := range changes.dropped {
		changes.ops = append(changes.ops, wire.Op{Name: recordName(dropped)})
	}
	return changes, nil
}

func recordName(version int64) string { return confirmedPrefix + strconv.FormatInt(version, 10) }

// apply applies the changes after they were committed.
func (c *confirmedVersions) apply(changes *recordChanges) {
	for _, dropped := range changes.dropped {
		delete(c.digests, dropped)
	}
	c.versions = append(c.versions[len(changes.dropped):], changes.added.Version)
	c.digests[changes.added.Version] = changes.added.Digest
	c.forgotten, c.unwritten = changes.forgotten, nil
}
