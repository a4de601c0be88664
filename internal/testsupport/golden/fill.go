package golden

import (
	"fmt"
	"reflect"

	"github.com/mailru/easyjson"
)

// sequence numbers the fields, so that each gets a different value and swapped fields are detected.
type sequence struct{ last int }

func (s *sequence) next() int {
	s.last++
	return s.last
}

var rawMessageType = reflect.TypeFor[easyjson.RawMessage]()

// elementCount is the number of elements in each slice.
const elementCount = 2

// fill sets a value and all values that it contains to non-zero values. Unexported fields keep their zero value. It panics for a kind that
// it doesn't support, such as a map.
func fill(value reflect.Value, numbers *sequence) {
	switch kind := value.Kind(); {
	case value.Type() == rawMessageType:
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, numbers.next()))
	case value.CanInt():
		value.SetInt(int64(numbers.next()))
	case value.CanUint():
		value.SetUint(uint64(numbers.next()))
	case value.CanFloat():
		value.SetFloat(float64(numbers.next()) + 0.5)
	case kind == reflect.Bool:
		value.SetBool(true)
	case kind == reflect.String:
		value.SetString(fmt.Sprintf("text-%d", numbers.next()))
	case kind == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), numbers)
	case kind == reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), elementCount, elementCount))
		for index := range elementCount {
			fill(value.Index(index), numbers)
		}
	case kind == reflect.Struct:
		for index := range value.NumField() {
			if field := value.Field(index); field.CanSet() {
				fill(field, numbers)
			}
		}
	default:
		panic(fmt.Sprintf("golden: fields of kind %s are not supported", kind))
	}
}
