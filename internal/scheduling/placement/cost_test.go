package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gannetline/internal/scheduling/placement"
)

// BenchmarkNarrow places a queue of 1001 groups on executors with little free capacity. It is too little for all groups but the last, which
// requires a label that no executor has.
func BenchmarkNarrow(b *testing.B) {
	for _, size := range []int{62, 1000} {
		draw := rand.New(rand.NewPCG(3, 3))
		all := executors(size, 16000)
		for index := range all {
			all[index].Free = placement.Resources{CPU: 400 + int64(draw.IntN(700)), Memory: 1000}
		}
		var groups []*placement.Group
		for number := range 1000 {
			waiting := group(22, []int64{1100 + int64(draw.IntN(900)), 5500 + int64(draw.IntN(3000))}[number%4/3])
			waiting.Due, waiting.AntiAffinity = int64(number), number%20/19
			groups = append(groups, waiting)
		}
		small := group(1, 300)
		small.Due, small.Labels = 1000, []string{"none"}
		groups = append(groups, small)
		queue := placement.Queue{Groups: groups, MinNeed: small.Need}
		b.Run(fmt.Sprintf("executors=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				placement.Place(all, queue, placement.Limits{})
			}
		})
	}
}
