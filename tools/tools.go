//go:build tools

// Package tools pins the generators.
package tools

import _ "github.com/mailru/easyjson/easyjson"
