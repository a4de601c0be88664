package golden

import (
	"reflect"
	"strings"
)

// Fields lists the names that a struct has under a tag such as "yaml", a line a field; those of inner structs follow
// the name of their field and a dot.
func Fields(value any, tag string) string {
	var lines strings.Builder
	writeFields(&lines, reflect.TypeOf(value), tag, "")
	return lines.String()
}

func writeFields(lines *strings.Builder, kind reflect.Type, tag, prefix string) {
	for index := range kind.NumField() {
		field := kind.Field(index)
		if field.Tag.Get(tag) == "-" {
			continue
		}
		name := prefix + field.Tag.Get(tag)
		lines.WriteString(name + " " + field.Type.Kind().String() + "\n")
		inner := field.Type
		for inner.Kind() == reflect.Slice || inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Map {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			writeFields(lines, inner, tag, name+".")
		}
	}
}
