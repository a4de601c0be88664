package configcache

import (
	"cmp"
	"slices"

	"gannetline/internal/peerapi"
)

const (
	// mostPeers that are ahead are remembered; mostFailures in a row make one be forgotten until it is heard again.
	mostPeers    = 16
	mostFailures = 3
	roleSteward  = "steward"
)

// peer is a peer that was heard to hold a newer version.
type peer struct {
	address   string
	isSteward bool
	holds     int64
	failures  int
}

// peers are the peers that may be asked, in no order.
type peers struct{ known []*peer }

// hear remembers who holds a version; what failed there before stays counted while others are left to ask.
func (p *peers) hear(member peerapi.Member, version int64) {
	if known := p.find(member.Address); known != nil {
		known.holds = max(known.holds, version)
		return
	}
	if len(p.known) == mostPeers {
		p.known = p.known[1:]
	}
	p.known = append(p.known, &peer{address: member.Address, isSteward: member.Role == roleSteward, holds: version})
}

func (p *peers) find(address string) *peer {
	for _, one := range p.known {
		if one.address == address {
			return one
		}
	}
	return nil
}

// best is the peer to ask: the fewest failures, then stewards, whose links are wider, then the newest version.
func (p *peers) best(held int64) *peer {
	p.known = slices.DeleteFunc(p.known, func(one *peer) bool { return one.holds <= held })
	if len(p.known) == 0 {
		return nil
	}
	return slices.MinFunc(p.known, func(one, two *peer) int {
		switch {
		case one.failures != two.failures:
			return cmp.Compare(one.failures, two.failures)
		case one.isSteward != two.isSteward && one.isSteward:
			return -1
		case one.isSteward != two.isSteward:
			return 1
		}
		return cmp.Compare(two.holds, one.holds)
	})
}

func (p *peers) failed(address string) {
	if one := p.find(address); one != nil {
		if one.failures++; one.failures >= mostFailures {
			p.forget(address)
		}
	}
}

func (p *peers) answered(address string) {
	if one := p.find(address); one != nil {
		one.failures = 0
	}
}

func (p *peers) forget(address string) {
	p.known = slices.DeleteFunc(p.known, func(one *peer) bool { return one.address == address })
}
