// Package indentedjson writes the JSON output of commands.
package indentedjson

import (
	"encoding/json"
	"io"
)

// Write writes a value as indented JSON followed by a line break.
func Write(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
