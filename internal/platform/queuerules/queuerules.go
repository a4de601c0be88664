// Package queuerules compiles and evaluates the expressions with which an operator selects the preferred executors of a queue and orders its
// steps. The rules only narrow and order what placement would do anyway, so they can't break an invariant of placement.
package queuerules

import (
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
	"github.com/juju/errors"
)

const (
	// maxLength is the longest text of a rule, in bytes.
	maxLength = 500
	// maxNodes is the largest number of nodes in the syntax tree of a rule.
	maxNodes = 100
)

// Text holds the source of the rules of one queue. Use selects executors, and Order ranks steps. An empty text is no rule.
type Text struct {
	Use   string `yaml:"use"`
	Order string `yaml:"order"`
}

// Executor holds the variables of a use rule. CPU is in thousandths of a core, Memory in MB, and GPU is the number of GPUs.
type Executor struct {
	Labels []string `expr:"labels"`
	CPU    int      `expr:"cpu"`
	Memory int      `expr:"memory"`
	GPU    int      `expr:"gpu"`
}

// Step holds the variables of an order rule. Due is the target time of its job in milliseconds since 1970, Tasks the number of ready tasks.
// CPU is in thousandths of a core, Memory in MB, and Estimate, the estimated run time of a task, in milliseconds.
type Step struct {
	Due      int `expr:"due"`
	Tasks    int `expr:"tasks"`
	CPU      int `expr:"cpu"`
	Memory   int `expr:"memory"`
	Estimate int `expr:"estimate"`
}

// rule holds the compiled rules of a queue. Each may be nil, but not both.
type rule struct{ use, order *vm.Program }

// Rules holds the compiled rules by queue. A nil pointer is valid and has no rules.
type Rules struct{ queues map[string]rule }

// Compile compiles the rules by queue. It returns nil if there are none. An error names the queue and the field.
func Compile(texts map[string]Text) (*Rules, error) {
	rules := &Rules{queues: map[string]rule{}}
	for queue, text := range texts {
		use, err := compile(text.Use, expr.Env(Executor{}), expr.AsBool())
		if err != nil {
			return nil, errors.Annotatef(err, "queue %s: field use", queue)
		}
		order, err := compile(text.Order, expr.Env(Step{}), expr.AsInt64())
		if err != nil {
			return nil, errors.Annotatef(err, "queue %s: field order", queue)
		}
		if use != nil || order != nil {
			rules.queues[queue] = rule{use, order}
		}
	}
	if len(rules.queues) == 0 {
		return nil, nil
	}
	return rules, nil
}

// compile refuses calls of functions and loops, so that the cost of a rule is bounded by its length. It returns nil for an empty text.
func compile(text string, env, result expr.Option) (*vm.Program, error) {
	if text == "" {
		return nil, nil
	}
	if len(text) > maxLength {
		return nil, errors.Errorf("is longer than %d letters", maxLength)
	}
	finder := &callFinder{}
	program, err := expr.Compile(text, env, result, expr.DisableAllBuiltins(), expr.MaxNodes(maxNodes), expr.Patch(finder))
	if err == nil && finder.isFound {
		err = errors.New("calls a function or loops")
	}
	return program, errors.Trace(err)
}

// callFinder records whether a syntax tree contains a call or a loop.
type callFinder struct{ isFound bool }

// Visit implements ast.Visitor. The compiler calls it for each node of a rule. It sets isFound at a call, a builtin or a loop, and changes
// no node.
func (f *callFinder) Visit(node *ast.Node) {
	switch (*node).(type) {
	case *ast.CallNode, *ast.BuiltinNode, *ast.PredicateNode:
		f.isFound = true
	}
}

// Allows reports whether the use rule of a queue selects an executor. It is true if the queue has no use rule or if evaluating the rule fails.
func (r *Rules) Allows(queue string, executor Executor) bool {
	if r == nil || r.queues[queue].use == nil {
		return true
	}
	result, err := expr.Run(r.queues[queue].use, executor)
	isAllowed, isBool := result.(bool)
	return err != nil || !isBool || isAllowed
}

// HasUse reports whether a queue has a rule that selects executors.
func (r *Rules) HasUse(queue string) bool { return r != nil && r.queues[queue].use != nil }

// HasOrder reports whether a queue has a rule that orders its steps.
func (r *Rules) HasOrder(queue string) bool { return r != nil && r.queues[queue].order != nil }

// Order returns the sort key of a step among those of its priority, lower first. It is the step's Due if the queue has no order rule or if
// evaluating the rule fails.
func (r *Rules) Order(queue string, step Step) int64 {
	if r == nil || r.queues[queue].order == nil {
		return int64(step.Due)
	}
	result, err := expr.Run(r.queues[queue].order, step)
	order, isInteger := result.(int64)
	if err != nil || !isInteger {
		return int64(step.Due)
	}
	return order
}
