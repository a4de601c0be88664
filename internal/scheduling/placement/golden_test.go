package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
	"gannetline/internal/testsupport/golden"
)

var _ = It("places as in the golden file on generated fleets", func() {
	draw := rand.New(rand.NewPCG(11, 11))
	var outcomes strings.Builder
	for range 1000 {
		all, groups, remaining := drawPlacement(draw)
		limits := placement.Limits{Remaining: remaining, FirstRunCPU: max(0, int64(draw.IntN(400))-200), Shares: drawShares(draw)}
		fmt.Fprintln(&outcomes, placement.PlaceInAnyOrder(all, groups, limits), remaining)
	}
	Expect(golden.CheckText("testdata/outcomes.txt", outcomes.String())).To(Succeed())
})
