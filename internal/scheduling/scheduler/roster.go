package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

const never = time.Duration(math.MaxInt64)

// roster keeps the lives in the order of their names, and what placement sees of each.
type roster struct {
	lives     []*life
	executors []placement.Executor
	// open is the room of those that may be given runs, taken the CPU that runs take of those that are in order, and all
	// the room of those that are known.
	open    placement.Room
	all     placement.Room
	taken   int64
	version uint64
	isStale bool
	until   time.Duration
	changed []*life
}

func (r *roster) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.lives, id, func(one *life, id string) int { return cmp.Compare(one.id, id) })
}

func (r *roster) add(one *life) {
	place, _ := r.find(one.id)
	r.lives = slices.Insert(r.lives, place, one)
	r.renumber(place)
}

func (r *roster) remove(one *life) {
	place, isThere := r.find(one.id)
	if isThere {
		r.lives = slices.Delete(r.lives, place, place+1)
		r.renumber(place)
	}
}

func (r *roster) renumber(from int) {
	for place := from; place < len(r.lives); place++ {
		r.lives[place].place = place
	}
	r.version++
	r.isStale = true
}

func (r *roster) note(one *life) {
	if !one.isChanged {
		one.isChanged = true
		r.changed = append(r.changed, one)
	}
}

// executors is what placement sees now; only what changed since is worked out again.
func (p *Pool) executors(now time.Duration) []placement.Executor {
	r := &p.roster
	if r.isStale || now >= r.until {
		r.until, r.isStale, r.taken, r.open, r.all = never, false, 0, placement.Room{}, placement.Room{}
		r.executors = slices.Grow(r.executors[:0], len(r.lives))[:len(r.lives)]
		clear(r.executors)
		for _, home := range r.lives {
			p.show(home, now)
		}
	} else {
		for _, home := range r.changed {
			p.show(home, now)
		}
	}
	for _, home := range r.changed {
		home.isChanged = false
	}
	r.changed = r.changed[:0]
	return r.executors
}

func (p *Pool) show(home *life, now time.Duration) {
	r := &p.roster
	old, fresh := &r.executors[home.place], p.executor(home, now)
	r.open = r.open.Minus(openRoom(old)).Plus(openRoom(&fresh))
	r.taken += takenCPU(&fresh) - takenCPU(old)
	r.all = r.all.Minus(old.Total).Plus(fresh.Total)
	*old = fresh
	if now < home.sickUntil {
		r.until = min(r.until, home.sickUntil)
	}
	if overdueAt := home.contactAt + overdueIn + 1; now < overdueAt {
		r.until = min(r.until, overdueAt)
	}
	if silentAt := home.contactAt + p.timing.SilentAfter + 1; now < silentAt {
		r.until = min(r.until, silentAt)
	}
}

// takenCPU is what runs take of an executor that is in order.
func takenCPU(executor *placement.Executor) int64 {
	if executor.IsClosed {
		return 0
	}
	return executor.Total.CPU - executor.Free.CPU
}

func openRoom(executor *placement.Executor) placement.Room {
	if executor.IsClosed || executor.Most == placement.NoMore {
		return placement.Room{}
	}
	return executor.Total
}

func (p *Pool) executor(home *life, now time.Duration) placement.Executor {
	return placement.Executor{Free: home.room.Minus(home.used), Total: home.room, Labels: home.labels, Rack: home.rack(),
		Doubt: home.doubt() + home.slowness() + home.silence(now), Most: home.most(), IsClosed: !home.isFenced || home.isDraining || home.isBlocked || now < home.sickUntil ||
			now-home.contactAt > p.timing.SilentAfter}
}

func (p *Pool) dropLife(home *life) {
	if p.lives[home.id] == home {
		delete(p.lives, home.id)
		p.roster.remove(home)
	}
}
