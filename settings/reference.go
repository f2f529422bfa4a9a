package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Reference returns the Markdown table of all settings for docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		field := t.Field(i)
		defaultText, hasDefault := field.Tag.Lookup("default")
		if !hasDefault {
			defaultText = "must be set"
		}
		allowed := ""
		if minText, bounded := field.Tag.Lookup("min"); bounded {
			allowed = minText + " to " + field.Tag.Get("max")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", jsonc.FieldName(field), defaultText, allowed, field.Tag.Get("doc"))
	}
	return b.String()
}
