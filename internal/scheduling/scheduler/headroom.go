package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

const peakHalfLife = 15 * time.Second

// Headroom is what long work of lower priority leaves to the urgent: at most MostReserved of all room, and always
// AlwaysAllowed of it to long work, which is work over LongWork. FirstRuns is the part of all CPU up to which no soft
// limit keeps a step from its first run.
type Headroom struct {
	MostReserved  float64
	AlwaysAllowed float64
	LongWork      time.Duration
	FirstRuns     float64
}

// DefaultHeadroom keeps at most 60% of the room free for the urgent and always lets long work have 30%; long is over
// 1.5 s. First runs go past soft limits up to 60%: over half, as runs that have ended count as running until that is told.
var DefaultHeadroom = Headroom{MostReserved: 0.6, AlwaysAllowed: 0.3, LongWork: 1500 * time.Millisecond, FirstRuns: 0.6}

// peak is the most that a priority asked for lately; it fades.
type peak struct {
	cpu, memory float64
	at          time.Duration
}

func (k *peak) raise(cpu, memory float64, now time.Duration) {
	fade := math.Exp2(-float64(now-k.at) / float64(peakHalfLife))
	k.cpu, k.memory, k.at = max(cpu, k.cpu*fade), max(memory, k.memory*fade), now
}

type demand struct{ asked, used placement.Room }

// limits are the soft limits of a placement now. The share is that of all known executors, but of what runs take only
// that on those in order counts: on a lost or leaving one it may be over already, and its room then stands empty.
func (p *Pool) limits(now time.Duration) placement.Limits {
	firstRuns := int64(p.timing.Headroom.FirstRuns*float64(p.roster.all.CPU)) - p.roster.taken
	return placement.Limits{Left: p.headroom(p.roster.open, now), FirstRuns: firstRuns}
}

// headroom gives each priority what it may still take, so that urgent jobs find room when they come.
func (p *Pool) headroom(total placement.Room, now time.Duration) map[int]placement.Room {
	demands := p.demands()
	left := map[int]placement.Room{}
	priorities := slices.Sorted(maps.Keys(demands))
	var used placement.Room
	for _, one := range demands {
		used = used.Plus(one.used)
	}
	var kept, above placement.Room
	for place, priority := range priorities {
		one := demands[priority]
		if p.peaks[priority] == nil {
			p.peaks[priority] = &peak{}
		}
		p.peaks[priority].raise(float64(one.asked.CPU), float64(one.asked.Memory), now)
		if place > 0 {
			free := total.Minus(used).Minus(kept)
			least := total.Times(p.timing.Headroom.AlwaysAllowed).Minus(used.Minus(above))
			left[priority] = free.AtLeast(least)
		}
		kept = kept.Plus(p.peaks[priority].unused(one.used, total.Times(p.timing.Headroom.MostReserved)))
		above = above.Plus(one.used)
	}
	return left
}

func (k *peak) unused(used, most placement.Room) placement.Room {
	return placement.Room{CPU: max(0, min(int64(k.cpu), most.CPU)-used.CPU), Memory: max(0, min(int64(k.memory), most.Memory)-used.Memory)}
}

// usage is what so many runs, or groups, of one priority take.
type usage struct {
	room  placement.Room
	count int
}

func (u usage) with(room placement.Room, count int) usage {
	if count < 0 {
		return usage{u.room.Minus(room), u.count + count}
	}
	return usage{u.room.Plus(room), u.count + count}
}

func (p *Pool) use(priority int, need placement.Room) {
	p.usage[priority] = p.usage[priority].with(need, 1)
}

func (p *Pool) free(priority int, need placement.Room) {
	p.usage[priority] = p.usage[priority].with(need, -1)
	if p.usage[priority].count == 0 {
		delete(p.usage, priority)
	}
}

func (p *Pool) demands() map[int]demand {
	demands := map[int]demand{}
	for priority, one := range p.usage {
		demands[priority] = demand{one.room, one.room}
	}
	for _, list := range []*requests{&p.open.firsts, &p.open.spares} {
		for priority, one := range list.asked {
			was := demands[priority]
			demands[priority] = demand{was.asked.Plus(one.room), was.used}
		}
	}
	return demands
}
