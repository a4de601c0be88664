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

// instantClock is a clock that stands still and ends every wait at once.
type instantClock struct{}

func (instantClock) Monotonic() time.Duration { return 0 }
func (instantClock) WallMs() int64            { return 0 }
func (instantClock) After(time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	done <- time.Time{}
	return done
}

var _ = Describe("Tree", func() {
	It("restarts a part that fails or panics", func() {
		tree, starts := supervise.New(instantClock{}, logging.Silent()), 0
		tree.Add("part", func(context.Context) error {
			starts++
			switch starts {
			case 1:
				panic("first")
			case 2:
				return errors.New("second")
			}
			return nil
		})
		Expect(tree.Run(context.Background())).To(Succeed())
		Expect(starts).To(Equal(3))
	})

	It("returns the error of a part that fails too often", func() {
		tree := supervise.New(instantClock{}, logging.Silent(), supervise.WithLimit(2, time.Minute))
		tree.Add("part", func(context.Context) error { return errors.New("always") })
		tree.Add("other", func(ctx context.Context) error { <-ctx.Done(); return nil })
		Expect(tree.Run(context.Background())).To(MatchError(ContainSubstring("always")))
	})
})
