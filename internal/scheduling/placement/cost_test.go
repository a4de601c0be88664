package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gannetline/internal/scheduling/placement"
)

// BenchmarkNarrow places a mixed backlog where nearly all executors have some free capacity, which is too little for most groups.
func BenchmarkNarrow(b *testing.B) {
	for _, size := range []int{62, 1000} {
		draw := rand.New(rand.NewPCG(3, 3))
		all := executors(size, 16000)
		for index := range all {
			all[index].Free = placement.Resources{CPU: 400 + int64(draw.IntN(700)), Memory: 1000}
		}
		var groups []*placement.Group
		for number := range 1000 {
			one := group(22, []int64{1100 + int64(draw.IntN(900)), 5500 + int64(draw.IntN(3000))}[number%4/3])
			one.Due, one.AntiAffinity = int64(number), number%20/19
			groups = append(groups, one)
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
