package configleader_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// queue is a route in the configurations of these tests, with the path prefix /PATH/.
type queue struct{ name, path, service, kind string }

// newQueuesBody returns a configuration with the services a, b and c and the given queues.
func newQueuesBody(version int, queues []queue) []byte {
	var routes []string
	for _, queue := range queues {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","timeout-ms":1,"service":%q,"route-type":%q}`,
			queue.name, queue.path, queue.service, queue.kind))
	}
	return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[%s],"service-list":[{"name":"a"},{"name":"b"},{"name":"c"}]}`,
		version, strings.Join(routes, ",")))
}

// commitQueues commits the configurations one after the other, each with a new leader, and returns the moved routes in the last one.
func commitQueues(configurations ...[]queue) []wire.MovedRoute {
	f := newLeaderFixture()
	for number, queues := range configurations {
		Expect(f.replace(int64(number), newQueuesBody(number+1, queues))).To(Equal(200))
		f.changeLeader()
	}
	stored := &wire.Configuration{}
	Expect(easyjson.Unmarshal(f.stored["fact"], stored)).To(Succeed())
	return stored.Moved
}

// findMoved returns the entry of a route, an empty one if there is none.
func findMoved(moved []wire.MovedRoute, route string) wire.MovedRoute {
	index := slices.IndexFunc(moved, func(entry wire.MovedRoute) bool { return entry.Route == route })
	if index < 0 {
		return wire.MovedRoute{}
	}
	return moved[index]
}

var _ = Describe("the former services of a queue", func() {
	// Guards against accepted jobs that were answered 410, and run again when sent again, after their queue had been removed and come back
	// on another service.
	DescribeTable("are known after", func(service string, configurations ...[]queue) {
		Expect(findMoved(commitQueues(configurations...), "q").Services).To(ContainElement(service))
	},
		Entry("a move", "a", []queue{{"q", "p", "a", ""}}, []queue{{"q", "p", "b", ""}}),
		Entry("a removal and a return", "a", []queue{{"q", "p", "a", ""}}, []queue{}, []queue{{"q", "p", "b", ""}}),
		Entry("a removal, a return and two moves", "a", []queue{{"q", "p", "a", ""}}, []queue{}, []queue{{"q", "p", "b", ""}}, []queue{{"q", "p", "c", ""}},
			[]queue{{"q", "p", "b", ""}}),
		Entry("a removal and other changes before the return", "a", []queue{{"q", "p", "a", ""}}, []queue{}, []queue{{"o", "o", "c", ""}}, []queue{},
			[]queue{{"q", "p", "b", ""}}),
		Entry("a return under another name", "a", []queue{{"r", "p", "a", ""}}, []queue{}, []queue{{"q", "p", "b", ""}}),
		Entry("a new name and service in one change", "a", []queue{{"r", "p", "a", ""}}, []queue{{"q", "p", "b", ""}}),
		Entry("two new names", "a", []queue{{"r", "p", "a", ""}}, []queue{{"o", "p", "b", ""}}, []queue{{"q", "p", "c", ""}}),
		Entry("a move and then a new name", "a", []queue{{"r", "p", "a", ""}}, []queue{{"r", "p", "b", ""}}, []queue{{"q", "p", "b", ""}}),
		Entry("its path was taken over from a queue that has got another path", "a", []queue{{"r", "p", "a", ""}}, []queue{{"r", "o", "a", ""}},
			[]queue{{"r", "o", "a", ""}, {"q", "p", "b", ""}}),
		Entry("two queues have exchanged their paths", "a", []queue{{"r", "p", "a", ""}, {"q", "o", "b", ""}}, []queue{{"r", "o", "a", ""}, {"q", "p", "b", ""}}),
		Entry("its path was that of a service for requests in between", "a", []queue{{"q", "p", "a", ""}}, []queue{{"q", "p", "c", "streaming"}},
			[]queue{{"q", "p", "b", ""}}),
	)

	It("include no service that never ran its jobs, whose pool may not exist", func() {
		moved := commitQueues([]queue{{"q", "p", "a", "streaming"}, {"o", "o", "c", ""}}, []queue{{"q", "p", "b", ""}, {"o", "o", "c", ""}})
		Expect(findMoved(moved, "q").Services).To(BeEmpty())
	})

	It("are recorded once, however often the queue is removed and comes back", func() {
		var configurations [][]queue
		for range 20 {
			configurations = append(configurations, []queue{{"q", "p", "a", ""}}, []queue{})
		}
		Expect(findMoved(commitQueues(configurations...), "q").Services).To(Equal([]string{"a"}))
	})
})
