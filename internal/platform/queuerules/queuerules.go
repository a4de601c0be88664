// Package queuerules holds expressions that say which executors a queue prefers, and in what order its tasks go.
// They narrow and order what placement would do anyway, so they can't break a rule that placement keeps.
package queuerules

import (
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
	"github.com/juju/errors"
)

const (
	maxLength = 500
	maxNodes  = 100
)

// Text is the rules of one queue as they are written.
type Text struct {
	Use   string `yaml:"use"`
	Order string `yaml:"order"`
}

// Executor is what a use-rule sees.
type Executor struct {
	Labels []string `expr:"labels"`
	CPU    int      `expr:"cpu"`
	Memory int      `expr:"memory"`
	GPU    int      `expr:"gpu"`
}

// Step is what an order-rule sees; Due is the aim in milliseconds since 1970.
type Step struct {
	Due      int `expr:"due"`
	Tasks    int `expr:"tasks"`
	CPU      int `expr:"cpu"`
	Memory   int `expr:"memory"`
	Estimate int `expr:"estimate"`
}

type rule struct{ use, order *vm.Program }

// Rules are compiled; the nil pointer is no rules at all.
type Rules struct{ queues map[string]rule }

// Compile checks all rules; an error names the queue and the field.
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

// compile leaves out all functions and loops, so that a rule costs no more than its length.
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

type callFinder struct{ isFound bool }

// Visit implements ast.Visitor: it notes whether a node is a call, a builtin or a loop. The compiler calls it for each node of
// a rule; it changes none.
func (f *callFinder) Visit(node *ast.Node) {
	switch (*node).(type) {
	case *ast.CallNode, *ast.BuiltinNode, *ast.PredicateNode:
		f.isFound = true
	}
}

// Allows tells whether a queue may use an executor; what can't be worked out allows.
func (r *Rules) Allows(queue string, executor Executor) bool {
	if r == nil || r.queues[queue].use == nil {
		return true
	}
	answer, err := expr.Run(r.queues[queue].use, executor)
	isAllowed, isBool := answer.(bool)
	return err != nil || !isBool || isAllowed
}

// HasUse tells whether a queue has a rule of that kind.
func (r *Rules) HasUse(queue string) bool { return r != nil && r.queues[queue].use != nil }

// HasOrder tells whether a queue has a rule that orders its steps.
func (r *Rules) HasOrder(queue string) bool { return r != nil && r.queues[queue].order != nil }

// Order gives the place of a step among those of its priority; lower goes first.
func (r *Rules) Order(queue string, step Step) int64 {
	if r == nil || r.queues[queue].order == nil {
		return int64(step.Due)
	}
	answer, err := expr.Run(r.queues[queue].order, step)
	order, isInteger := answer.(int64)
	if err != nil || !isInteger {
		return int64(step.Due)
	}
	return order
}
