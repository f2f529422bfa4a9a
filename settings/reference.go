package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Reference returns the table of docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		field := t.Field(i)
		fallback, hasDefault := field.Tag.Lookup("default")
		if !hasDefault {
			fallback = "must be set"
		}
		allowed := ""
		if least, bounded := field.Tag.Lookup("min"); bounded {
			allowed = least + " to " + field.Tag.Get("max")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", jsonc.FieldName(field), fallback, allowed, field.Tag.Get("doc"))
	}
	return b.String()
}
