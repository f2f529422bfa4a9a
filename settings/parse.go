package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

// Default returns the settings with every default, without a name or address.
func Default() Settings {
	var s Settings
	v := reflect.ValueOf(&s).Elem()
	for i := range v.NumField() {
		if text, ok := v.Type().Field(i).Tag.Lookup("default"); ok {
			setText(v.Field(i), text)
		}
	}
	return s
}

// setText sets a field from a tag, through the decoder that reads files too.
func setText(field reflect.Value, text string) {
	quoted := text
	if field.Type() == durationType || field.Kind() == reflect.String {
		quoted = `"` + text + `"`
	}
	holder := reflect.New(reflect.StructOf([]reflect.StructField{
		{Name: "V", Type: field.Type(), Tag: `json:"v"`},
	}))
	if _, faults := jsonc.Decode([]byte(`{"v":`+quoted+`}`), holder.Interface(), jsonc.WithoutComments); len(faults) > 0 {
		panic(fmt.Sprintf("settings: tag %q: %s", text, faults[0])) // a fault of this package, found by its tests
	}
	field.Set(holder.Elem().Field(0))
}

// Parse reads and checks settings. All faults are returned in the order in
// which they stand; the settings are valid only without any.
func Parse(src []byte) (Settings, []jsonc.Fault) {
	s := Default()
	positions, faults := jsonc.Decode(src, &s, jsonc.WithComments)
	c := checker{jsonc.NewChecker(positions, faults)}
	if c.IsObject() {
		c.fields(s)
		c.rules(s)
	}
	return s, c.Faults()
}

// Load reads the settings in the file at path. The error has a line
// FILE:LINE:COLUMN: for each fault.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, faults := Parse(src)
	if len(faults) == 0 {
		return s, nil
	}
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = path + ":" + fault.String()
	}
	return Settings{}, errors.New(strings.Join(lines, "\n"))
}

// JSON returns the settings in force, with the defaults filled in, in the form
// that Parse reads.
func (s Settings) JSON() ([]byte, error) { return jsonc.Marshal(s) }
