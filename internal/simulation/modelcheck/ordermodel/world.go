// Package ordermodel runs the real scheduler pool and the real local-proxy table against executors that keep to the
// protocol, on a fake clock and a simulated network, under schedules of faults.
package ordermodel

import (
	"fmt"
	"io"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck"
)

const (
	beginWallMs = 1_800_000_000_000
	queueStream = 42

	service = "board"
	poolKey = "pool/" + service
)

// world is a whole system: stewards, gates, local-proxies and executors.
type world struct {
	queue     *eventQueue
	profile   *profile
	timing    scheduler.Timing
	key       *replicatedKey
	stewards  []*steward
	gates     []*gate
	proxies   []*proxy
	executors []*executor
	outside   *process
	oracles   *oracles
	plant     plant
	coverage  modelcheck.Coverage
	views     []*membership.View
	hop       hop
	calls     uint64
	slowSync  time.Duration
	// troubledAt is the last time at which anything was wrong.
	troubledAt time.Duration
	// coreTroubledAt is the last time at which anything was wrong with stewards, gates or the network as a whole.
	coreTroubledAt time.Duration
	// isDone ends the run: all jobs are over, and late calls can't come any more.
	isDone bool
	// onCommit is called once, when a leader hears of a commit.
	onCommit func()
	// forgotten are records that a plant keeps out of commits.
	forgotten map[string]bool
	trace     io.Writer
}

func newWorld(schedule modelcheck.Schedule) *world {
	profile := profileOf(schedule.Size)
	w := &world{queue: newEventQueue(schedule.Seed), profile: profile, plant: plant{schedule.Plant}, coverage: modelcheck.Coverage{},
		forgotten: map[string]bool{}}
	w.timing = w.plant.timing(profile.timing)
	w.oracles = newOracles(w)
	w.outside = &process{world: w, name: "outside", isUp: true, isOnce: true}
	w.key = &replicatedKey{world: w, pairs: map[string][]byte{}}
	w.views = make([]*membership.View, schedule.Nodes)
	for number := range schedule.Nodes {
		w.stewards = append(w.stewards, &steward{process: process{world: w, name: fmt.Sprintf("steward-%d", number)}})
	}
	for number := range profile.gates {
		w.gates = append(w.gates, &gate{process: process{world: w, name: fmt.Sprintf("gate-%d", number), isOnce: true}})
	}
	for number := range profile.executors {
		machine := fmt.Sprintf("side-%d", number)
		one := &executor{world: w, machine: machine, number: number, room: profile.room(number),
			labels: []string{"zone", rackOf(number / profile.rackSize)}, isGuarding: profile.isGuarding(number)}
		one.proxy = &proxy{process: process{world: w, name: machine}, executor: one}
		w.executors, w.proxies = append(w.executors, one), append(w.proxies, one.proxy)
	}
	w.start()
	return w
}

func (w *world) start() {
	for _, one := range w.stewards {
		one.start()
	}
	for _, one := range w.gates {
		one.start()
	}
	for _, one := range w.proxies {
		one.start()
	}
	for _, one := range w.executors {
		one.start()
	}
	w.key.watch()
	w.watchStalls()
}

func (w *world) count(what string) { w.coverage[what]++ }

// announce lets processes hear of a new leader, each in its time; one that is cut off hears later.
func (w *world) announce(fresh *leadership) {
	for _, one := range w.gates {
		w.tellLeader(&one.process, fresh)
	}
	for _, one := range w.proxies {
		w.tellLeader(&one.process, fresh)
	}
}

func (w *world) tellLeader(to *process, fresh *leadership) {
	w.queue.after(w.queue.between(time.Millisecond, mostNewsTime), func() {
		if w.key.leader != fresh {
			return
		}
		if !to.isReachable() || to.group != fresh.steward.group {
			w.tellLeader(to, fresh)
			return
		}
		for place, one := range w.stewards {
			if one == fresh.steward {
				to.hear(place)
			}
		}
	})
}
