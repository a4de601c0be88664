package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

const rolloutConfiguration = `{"config-version":4,"route-list":[{"name":"a","host":"h","path-prefix":"/q/","timeout-ms":3000,"service":"v1"}],
 "service-list":[{"name":"v1"},{"name":"v2"}], "of-the-operator":[1, 2]}`

// scriptedControl answers like the control plane of a steward. It serves a configuration and replaces it as the leader does.
type scriptedControl struct {
	body string
	// beforeReplace runs once, before the next change is applied.
	beforeReplace func()
	// status is the body of the answer to a request for the state of rollouts.
	status string
}

func (c *scriptedControl) version() string { return c.current().versionText }

// decodedConfiguration is a decoded configuration with its version as text.
type decodedConfiguration struct {
	versionText string
	*configuration.Configuration
}

func (c *scriptedControl) current() decodedConfiguration {
	decoded, err := configuration.Read([]byte(c.body))
	Expect(err).NotTo(HaveOccurred())
	return decodedConfiguration{strings.TrimSpace(strings.Split(strings.SplitN(c.body, `"config-version":`, 2)[1], ",")[0]), decoded}
}

func (c *scriptedControl) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/configuration/retrieve":
		io.WriteString(to, c.body)
	case "/v1/rollout/retrieve":
		io.WriteString(to, c.status)
	case "/v1/configuration/replace":
		if run := c.beforeReplace; run != nil {
			c.beforeReplace = nil
			run()
		}
		if request.Header.Get("X-Base-Version") != c.version() {
			to.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		body, _ := io.ReadAll(request.Body)
		c.body = string(body)
	}
}

var _ = Describe("the commands for rollouts", func() {
	var control *scriptedControl
	var at string
	run := func(arguments ...string) (string, int) {
		return runCommand(append([]string{"rollout", arguments[0], at}, arguments[1:]...)...)
	}
	start := func(further ...string) (string, int) {
		return run(append([]string{"start", "--route=a", "--to=v2", "--failures=0.02", "--by=ann"}, further...)...)
	}
	BeforeEach(func() {
		control = &scriptedControl{body: rolloutConfiguration}
		server := httptest.NewServer(control)
		DeferCleanup(server.Close)
		at = "--at=" + strings.TrimPrefix(server.URL, "http://")
	})

	It("request a rollout in the configuration, and leave everything else in it unchanged", func() {
		output, code := start("--step=0.1:30s:20", "--step=1", "--stop", "r")
		Expect(output).To(Equal("rollout r is asked for: v2 of route a, from v1\n"))
		Expect(code).To(Equal(0))
		Expect(control.body).To(ContainSubstring(`"of-the-operator":[1, 2]`))
		Expect(control.current().Version).To(Equal(int64(5)))
		Expect(control.current().Rollouts).To(Equal([]configuration.Rollout{{Name: "r", Route: "a", From: "v1", To: "v2", RequestedBy: "ann",
			OnRollback: configuration.RollbackStop, Steps: []configuration.RolloutStep{{Share: 0.1, MinTimeS: 30, MinJobs: 20}, {Share: 1}},
			Bounds: configuration.RolloutBounds{Failures: 0.02, FalseAlarm: configuration.DefaultFalseAlarm, MinJobs: configuration.DefaultMinJobs}}}))
		output, code = start("r")
		Expect(output).To(ContainSubstring(`there is a rollout "r" already`))
		Expect(code).To(Equal(exitFailed))
	})

	It("apply the change to a version that another operator has stored in the meantime", func() {
		control.beforeReplace = func() { control.body = strings.Replace(control.body, `"config-version":4`, `"config-version":17`, 1) }
		_, code := start("r")
		Expect(code).To(Equal(0))
		Expect(control.current().Version).To(Equal(int64(18)))
	})

	It("pause, resume and abort a rollout", func() {
		start("r")
		_, code := run("pause", "r")
		Expect(code).To(Equal(exitFailed), "the rollout has not begun")
		control.body = strings.Replace(control.body, `"requested-by"`, `"state":"widening","requested-by"`, 1)
		for _, step := range []struct {
			command string
			state   configuration.RolloutState
			reason  string
		}{{"pause", configuration.RolloutPaused, "paused by ann"}, {"resume", configuration.RolloutWidening, ""}, {"abort", configuration.RolloutRolledBack, "aborted by ann"}} {
			output, code := run(step.command, "--by=ann", "r")
			Expect(code).To(Equal(0), output)
			Expect(control.current().Rollouts[0].State).To(Equal(step.state))
			Expect(control.current().Rollouts[0].Reason).To(Equal(step.reason))
		}
		output, code := run("abort", "r")
		Expect(output).To(Equal("the rollout is over"))
		Expect(code).To(Equal(exitFailed))
		_, code = run("resume", "r")
		Expect(code).To(Equal(exitFailed))
		output, code = run("abort", "nothing")
		Expect(output).To(ContainSubstring("there is no such rollout"))
		Expect(code).To(Equal(exitFailed))
	})

	It("show the state of rollouts", func() {
		control.status = `{"config-version":5,"rollouts":[]}`
		output, code := run("status")
		Expect(output).To(Equal("no rollouts\n"))
		Expect(code).To(Equal(0))
		control.status = `{"config-version":5,"rollouts":[{"name":"r","route":"a","from-service":"v1","to-service":"v2","state":"widening","step":1,"steps":3,
			"share":0.25,"action":"hold","action-reason":"the step has not lasted long enough","old":{"jobs":{"completed":70},"executors":3,"capacity":4000,"allocated":1500},
			"new":{"jobs":{"completed":20,"failed":1},"executors":2},"verdicts":[{"kind":"failures","of":"all jobs","total":21,"bad":1,"bound":0.02,"old-version":0,"evidence":0.5,"level":7.1}]}]}`
		output, code = run("status", "r")
		Expect(code).To(Equal(0))
		Expect(output).To(ContainSubstring("r  widening  route a  [#####...............] 25%  step 2 of 3\n  hold: the step has not lasted long enough\n"))
		Expect(output).To(MatchRegexp(`v1 +3 +70 +0 +0 +0 +0 +1\.5 of 4\.0\n +v2 +2 +20 +1 `))
		Expect(output).To(MatchRegexp(`failures +all jobs +1 +21 +0\.020 +0\.000 +0\.5 +7\.1\n`))
		output, _ = run("status", "--json")
		Expect(output).To(ContainSubstring(`"action-reason": "the step has not lasted long enough"`))
		_, code = run("status", "nothing")
		Expect(code).To(Equal(exitFailed))
	})

	DescribeTable("refuse invalid arguments and name the flag", func(wanted string, arguments ...string) {
		output, code := run(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(output).To(ContainSubstring(wanted))
	},
		Entry("no name", "start takes NAME", "start"),
		Entry("no route", "--route", "start", "--to=v2", "--late=0.1", "r"),
		Entry("no new version", "--to", "start", "--route=a", "--late=0.1", "r"),
		Entry("a bound outside 0 to 1", "--failures", "start", "--route=a", "--to=v2", "--failures=1.5", "r"),
		Entry("a factor below 1", "--run-time-factor", "start", "--route=a", "--to=v2", "--run-time-factor=0.5", "r"),
		Entry("no bound", "--late", "start", "--route=a", "--to=v2", "r"),
		Entry("decreasing shares", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=0.5", "--step=0.2", "--step=1", "r"),
		Entry("a last share below 1", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=0.5", "r"),
		Entry("a malformed step", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=a:b", "r"),
		Entry("a step with too many fields", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=1:1s:2:3", "r"),
		Entry("a watch interval that is too short", "--watch", "status", "--watch=1ms"),
		Entry("two names", "status takes", "status", "r", "s"),
	)

	It("print the field that the configuration's check refuses", func() {
		output, code := start("--to=v9", "r")
		Expect(code).To(Equal(exitFailed))
		Expect(output).To(ContainSubstring(`field to-service names "v9", which is unknown`))
		_, code = runCommand("rollout", "status", "--at="+deadAddress(), "--timeout=100ms")
		Expect(code).To(Equal(exitNoAnswer))
	})
})
