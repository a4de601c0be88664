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

// scriptedControl keeps a configuration as the leader does.
type scriptedControl struct {
	body string
	// meanwhile runs once before a change is taken.
	meanwhile func()
	status    string
}

func (c *scriptedControl) version() string { return c.current().versionText }

type currentVersion struct {
	versionText string
	*configuration.Configuration
}

func (c *scriptedControl) current() currentVersion {
	decoded, err := configuration.Read([]byte(c.body))
	Expect(err).NotTo(HaveOccurred())
	return currentVersion{strings.TrimSpace(strings.Split(strings.SplitN(c.body, `"config-version":`, 2)[1], ",")[0]), decoded}
}

func (c *scriptedControl) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/v1/configuration/retrieve":
		io.WriteString(to, c.body)
	case "/v1/rollout/retrieve":
		io.WriteString(to, c.status)
	case "/v1/configuration/replace":
		if run := c.meanwhile; run != nil {
			c.meanwhile = nil
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

	It("ask for one, in the configuration, and leave all else in it alone", func() {
		shown, code := start("--step=0.1:30s:20", "--step=1", "--stop", "r")
		Expect(shown).To(Equal("rollout r is asked for: v2 of route a, from v1\n"))
		Expect(code).To(Equal(0))
		Expect(control.body).To(ContainSubstring(`"of-the-operator":[1, 2]`))
		Expect(control.current().Version).To(Equal(int64(5)))
		Expect(control.current().Rollouts).To(Equal([]configuration.Rollout{{Name: "r", Route: "a", From: "v1", To: "v2", RequestedBy: "ann",
			OnTurnBack: configuration.TurnBackStop, Steps: []configuration.RolloutStep{{Share: 0.1, MinTimeS: 30, MinJobs: 20}, {Share: 1}},
			Bounds: configuration.RolloutBounds{Failures: 0.02, FalseAlarm: configuration.DefaultFalseAlarm, MinJobs: configuration.DefaultMinJobs}}}))
		shown, code = start("r")
		Expect(shown).To(ContainSubstring(`there is a rollout "r" already`))
		Expect(code).To(Equal(exitFailed))
	})

	It("make the change on the version that another operator has brought meanwhile", func() {
		control.meanwhile = func() { control.body = strings.Replace(control.body, `"config-version":4`, `"config-version":17`, 1) }
		_, code := start("r")
		Expect(code).To(Equal(0))
		Expect(control.current().Version).To(Equal(int64(18)))
	})

	It("pause, resume and abort", func() {
		start("r")
		_, code := run("pause", "r")
		Expect(code).To(Equal(exitFailed), "it has not begun")
		control.body = strings.Replace(control.body, `"requested-by"`, `"state":"widening","requested-by"`, 1)
		for _, step := range []struct {
			command string
			state   configuration.RolloutState
			reason  string
		}{{"pause", configuration.RolloutPaused, "paused by ann"}, {"resume", configuration.RolloutWidening, ""}, {"abort", configuration.RolloutTurnedBack, "aborted by ann"}} {
			shown, code := run(step.command, "--by=ann", "r")
			Expect(code).To(Equal(0), shown)
			Expect(control.current().Rollouts[0].State).To(Equal(step.state))
			Expect(control.current().Rollouts[0].Reason).To(Equal(step.reason))
		}
		shown, code := run("abort", "r")
		Expect(shown).To(Equal("the rollout is over"))
		Expect(code).To(Equal(exitFailed))
		_, code = run("resume", "r")
		Expect(code).To(Equal(exitFailed))
		shown, code = run("abort", "nothing")
		Expect(shown).To(ContainSubstring("there is no such rollout"))
		Expect(code).To(Equal(exitFailed))
	})

	It("show how they stand", func() {
		control.status = `{"config-version":5,"rollouts":[]}`
		shown, code := run("status")
		Expect(shown).To(Equal("no rollouts\n"))
		Expect(code).To(Equal(0))
		control.status = `{"config-version":5,"rollouts":[{"name":"r","route":"a","from-service":"v1","to-service":"v2","state":"widening","step":1,"steps":3,
			"share":0.25,"action":"hold","action-reason":"the step has not lasted long enough","old":{"jobs":{"completed":70},"executors":3,"capacity":4000,"allocated":1500},
			"new":{"jobs":{"completed":20,"failed":1},"executors":2},"verdicts":[{"kind":"failures","of":"all jobs","total":21,"bad":1,"bound":0.02,"old-version":0,"evidence":0.5,"level":7.1}]}]}`
		shown, code = run("status", "r")
		Expect(code).To(Equal(0))
		Expect(shown).To(ContainSubstring("r  widening  route a  [#####...............] 25%  step 2 of 3\n  hold: the step has not lasted long enough\n"))
		Expect(shown).To(MatchRegexp(`v1 +3 +70 +0 +0 +0 +0 +1\.5 of 4\.0\n +v2 +2 +20 +1 `))
		Expect(shown).To(MatchRegexp(`failures +all jobs +1 +21 +0\.020 +0\.000 +0\.5 +7\.1\n`))
		shown, _ = run("status", "--json")
		Expect(shown).To(ContainSubstring(`"action-reason": "the step has not lasted long enough"`))
		_, code = run("status", "nothing")
		Expect(code).To(Equal(exitFailed))
	})

	DescribeTable("refuse bad use and name the flag", func(named string, arguments ...string) {
		shown, code := run(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(shown).To(ContainSubstring(named))
	},
		Entry("no name", "start takes NAME", "start"),
		Entry("no route", "--route", "start", "--to=v2", "--late=0.1", "r"),
		Entry("no version", "--to", "start", "--route=a", "--late=0.1", "r"),
		Entry("a bound outside 0 to 1", "--failures", "start", "--route=a", "--to=v2", "--failures=1.5", "r"),
		Entry("a factor below 1", "--run-time-factor", "start", "--route=a", "--to=v2", "--run-time-factor=0.5", "r"),
		Entry("nothing agreed", "--late", "start", "--route=a", "--to=v2", "r"),
		Entry("shares that fall", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=0.5", "--step=0.2", "--step=1", "r"),
		Entry("a last share below 1", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=0.5", "r"),
		Entry("a step that is none", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=a:b", "r"),
		Entry("a step of too many words", "--step", "start", "--route=a", "--to=v2", "--late=0.1", "--step=1:1s:2:3", "r"),
		Entry("a watch that is too short", "--watch", "status", "--watch=1ms"),
		Entry("two names", "status takes", "status", "r", "s"),
	)

	It("refuse what the configuration's check refuses, with the field", func() {
		shown, code := start("--to=v9", "r")
		Expect(code).To(Equal(exitFailed))
		Expect(shown).To(ContainSubstring(`field to-service names "v9", which is unknown`))
		_, code = runCommand("rollout", "status", "--at="+deadAddress(), "--timeout=100ms")
		Expect(code).To(Equal(exitSilent))
	})
})
