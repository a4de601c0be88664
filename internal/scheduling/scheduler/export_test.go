package scheduler

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// Heard is what the owner believes of an executor, and of which session and number it is.
func (p *Pool) Heard(id string) (told wire.ExchangeCall, saved map[string]string) {
	home := p.lives[id]
	if home == nil || !home.isKnown {
		return told, nil
	}
	saved = map[string]string{}
	for _, key := range slices.Collect(maps.Keys(home.runs)) {
		saved[key.task] = home.runs[key].task.saved
	}
	return wire.ExchangeCall{Session: home.heard.session, Number: home.heard.held, Proxy: home.proxy, Domain: home.domain,
		Labels: home.labels, Capacity: wire.Capacity{CPU: home.room.CPU, Memory: home.room.Memory, GPU: home.room.GPU},
		Draining: home.isDraining}, saved
}

// Doubt is how little the owner trusts an executor.
func (p *Pool) Doubt(id string) float64 { return p.lives[id].doubt() }

// AtOnce is how many runs an executor may have at once; 0 sets no bound.
func (p *Pool) AtOnce(id string) int { return p.lives[id].atOnce }
