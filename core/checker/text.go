package checker

import (
	"fmt"
	"reflect"
	"strconv"
)

// changedFields returns a text for each field in which two values of one struct type differ.
func changedFields[T any](before, after T) []string {
	var out []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		name, x, y := a.Type().Field(i).Name, a.Field(i).Interface(), b.Field(i).Interface()
		if _, isEngine := a.Field(i).Interface().(interface{ Chained() bool }); isEngine {
			continue
		}
		if !reflect.DeepEqual(x, y) {
			out = append(out, fmt.Sprintf("%s %s to %s", name, format(x), format(y)))
		}
	}
	return out
}

// format returns the text of a value. A nil pointer is "none".
func format(v any) string {
	x := reflect.ValueOf(v)
	if x.Kind() == reflect.Pointer {
		if x.IsNil() {
			return "none"
		}
		v = x.Elem().Interface()
	}
	return fmt.Sprintf("%v", v)
}

// plural returns a number with a noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

func thatOrThose(n int) string {
	if n == 1 {
		return "it"
	}
	return "them"
}
