package configcache

import (
	"cmp"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxPeers that are ahead are remembered; maxFailures in a row make one be forgotten until it is named again.
	maxPeers    = 16
	maxFailures = 3
	roleSteward = "steward"
)

// peer is a process that is said to hold a newer version.
type peer struct {
	address   string
	isSteward bool
	version   int64
	failures  int
}

// peers are the peers that may be asked, in no order.
type peers struct{ known []*peer }

// note remembers who holds a version; what failed there before stays counted while others are left to ask.
func (p *peers) note(member wire.Member, version int64) {
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

// next is the peer to ask: the fewest failures, then stewards, whose links are wider, then the newest version.
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

// failed counts a failure in a row.
func (p *peers) failed(address string) {
	if known := p.find(address); known != nil {
		if known.failures++; known.failures >= maxFailures {
			p.forget(address)
		}
	}
}

func (p *peers) answered(address string) {
	if known := p.find(address); known != nil {
		known.failures = 0
	}
}

func (p *peers) forget(address string) {
	p.known = slices.DeleteFunc(p.known, func(known *peer) bool { return known.address == address })
}
