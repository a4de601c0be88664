package configcache

import (
	"cmp"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxPeers is how many peers with a newer version are remembered.
	maxPeers = 16
	// maxFailures is how many failures in a row remove a peer, until it is reported again.
	maxFailures = 3
	roleSteward = "steward"
)

// peer is a process that was reported to hold a newer version. failures counts its failed calls in a row.
type peer struct {
	address   string
	isSteward bool
	version   int64
	failures  int
}

// peers are the peers that may be asked, in the order in which they were first reported.
type peers struct{ known []*peer }

// recordVersion remembers that a peer holds a version. It keeps the failure count of a peer that is known already, so that peers
// without failures are still asked first. A new peer replaces the oldest one once maxPeers are known.
func (p *peers) recordVersion(member wire.Member, version int64) {
	if known := p.find(member.Address); known != nil {
		known.version = max(known.version, version)
		return
	}
	if len(p.known) == maxPeers {
		p.known = p.known[1:]
	}
	p.known = append(p.known, &peer{address: member.Address, isSteward: member.Role == roleSteward, version: version})
}

func (p *peers) find(address string) *peer {
	for _, known := range p.known {
		if known.address == address {
			return known
		}
	}
	return nil
}

// next returns the peer to ask, nil if none holds a newer version than the current one. Peers with fewer failures go first, then
// stewards, whose links are faster, then those with the newest version. Peers without a newer version are forgotten.
func (p *peers) next(current int64) *peer {
	p.known = slices.DeleteFunc(p.known, func(known *peer) bool { return known.version <= current })
	if len(p.known) == 0 {
		return nil
	}
	return slices.MinFunc(p.known, func(a, b *peer) int {
		switch {
		case a.failures != b.failures:
			return cmp.Compare(a.failures, b.failures)
		case a.isSteward != b.isSteward && a.isSteward:
			return -1
		case a.isSteward != b.isSteward:
			return 1
		}
		return cmp.Compare(b.version, a.version)
	})
}

// recordFailure counts a failed call, and forgets the peer after maxFailures in a row.
func (p *peers) recordFailure(address string) {
	if known := p.find(address); known != nil {
		if known.failures++; known.failures >= maxFailures {
			p.forget(address)
		}
	}
}

// recordSuccess resets the count of failures.
func (p *peers) recordSuccess(address string) {
	if known := p.find(address); known != nil {
		known.failures = 0
	}
}

func (p *peers) forget(address string) {
	p.known = slices.DeleteFunc(p.known, func(known *peer) bool { return known.address == address })
}
