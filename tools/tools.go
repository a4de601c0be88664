//go:build tools

// Package tools records the code generators as dependencies of the module, so that go.mod pins their versions. It is never built.
package tools

import _ "github.com/mailru/easyjson/easyjson"
