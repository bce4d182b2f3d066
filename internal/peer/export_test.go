package peer

import (
	"reflect"
	"strings"
)

// LayoutOf returns what the layout covers of the type of a value.
func LayoutOf(value any) string {
	var text strings.Builder
	writeType(&text, map[reflect.Type]bool{}, reflect.TypeOf(value))
	return text.String()
}
