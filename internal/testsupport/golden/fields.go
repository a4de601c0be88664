package golden

import (
	"reflect"
	"strings"
)

// Fields lists the names of a struct's fields in a tag such as "yaml", with the kind of each field, one line per field. The names of the
// fields of nested structs are prefixed with the name of the outer field and a dot.
func Fields(value any, tag string) string {
	var lines strings.Builder
	writeFields(&lines, reflect.TypeOf(value), tag, "")
	return lines.String()
}

// writeFields writes the lines of a struct type with a prefix before each name. It leaves out fields with the tag "-".
func writeFields(lines *strings.Builder, structType reflect.Type, tag, prefix string) {
	for index := range structType.NumField() {
		field := structType.Field(index)
		if field.Tag.Get(tag) == "-" {
			continue
		}
		name := prefix + field.Tag.Get(tag)
		lines.WriteString(name + " " + field.Type.Kind().String() + "\n")
		elementType := field.Type
		for elementType.Kind() == reflect.Slice || elementType.Kind() == reflect.Pointer || elementType.Kind() == reflect.Map {
			elementType = elementType.Elem()
		}
		if elementType.Kind() == reflect.Struct {
			writeFields(lines, elementType, tag, name+".")
		}
	}
}
