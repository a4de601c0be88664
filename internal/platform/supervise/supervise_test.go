package supervise_test

import (
	"context"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/supervise"
)

type hasty struct{}

func (hasty) Monotonic() time.Duration { return 0 }
func (hasty) WallMs() int64            { return 0 }
func (hasty) After(time.Duration) <-chan time.Time {
	ring := make(chan time.Time, 1)
	ring <- time.Time{}
	return ring
}

var _ = Describe("the tree", func() {
	It("starts a part again that failed or panicked", func() {
		tree, times := supervise.New(hasty{}, logging.Silent()), 0
		tree.Add("part", func(context.Context) error {
			times++
			switch times {
			case 1:
				panic("first")
			case 2:
				return errors.New("second")
			}
			return nil
		})
		Expect(tree.Run(context.Background())).To(Succeed())
		Expect(times).To(Equal(3))
	})

	It("ends with the error of a part that fails too often", func() {
		tree := supervise.New(hasty{}, logging.Silent(), supervise.WithLimit(2, time.Minute))
		tree.Add("part", func(context.Context) error { return errors.New("always") })
		tree.Add("other", func(ctx context.Context) error { <-ctx.Done(); return nil })
		Expect(tree.Run(context.Background())).To(MatchError(ContainSubstring("always")))
	})
})
