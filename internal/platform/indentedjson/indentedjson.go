// Package indentedjson writes what commands show as JSON.
package indentedjson

import (
	"encoding/json"
	"io"
)

// Write writes a value as indented JSON, with a line break after it.
func Write(to io.Writer, value any) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
