package golden

import (
	"fmt"
	"reflect"

	"github.com/mailru/easyjson"
)

// sequence gives every field a value of its own, so that two fields that change places are noticed.
type sequence struct{ last int }

func (s *sequence) next() int {
	s.last++
	return s.last
}

var rawMessageType = reflect.TypeFor[easyjson.RawMessage]()

// elementCount is how many elements each list gets.
const elementCount = 2

// fill sets a value, and all that it holds, to values that differ from zero. Fields that are not exported stay empty.
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
		panic(fmt.Sprintf("golden: a field of kind %s can't be filled", kind))
	}
}
