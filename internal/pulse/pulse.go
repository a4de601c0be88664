// Package pulse is the only place where the project asks for the time.
package pulse

import "time"

type Pulse interface {
	Steady() time.Duration
	WallMs() int64
	After(wait time.Duration) <-chan time.Time
}

type realPulse struct{ begin time.Time }

func Real() Pulse { return realPulse{begin: time.Now()} }

func (p realPulse) Steady() time.Duration                     { return time.Since(p.begin) }
func (p realPulse) WallMs() int64                             { return time.Now().UnixMilli() }
func (p realPulse) After(wait time.Duration) <-chan time.Time { return time.After(wait) }

func Ms(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func InMs(length time.Duration) int64 { return int64(length / time.Millisecond) }

type Fake struct {
	now   time.Duration
	wall  int64
	waits []fakeWait
}

type fakeWait struct {
	due  time.Duration
	ring chan time.Time
}

func NewFake(wallMs int64) *Fake { return &Fake{wall: wallMs} }

func (f *Fake) Steady() time.Duration { return f.now }
func (f *Fake) WallMs() int64         { return f.wall + InMs(f.now) }
func (f *Fake) StepWall(ms int64)     { f.wall += ms }

func (f *Fake) After(wait time.Duration) <-chan time.Time {
	ring := make(chan time.Time, 1)
	f.waits = append(f.waits, fakeWait{f.now + wait, ring})
	return ring
}

func (f *Fake) Advance(length time.Duration) {
	f.now += length
	kept := f.waits[:0]
	for _, wait := range f.waits {
		if wait.due <= f.now {
			wait.ring <- time.Time{}
			continue
		}
		kept = append(kept, wait)
	}
	f.waits = kept
}
