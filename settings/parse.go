package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

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

// setText sets a field from a tag. A tag that does not fit its field is a fault
// of this package, which the test of the defaults finds.
func setText(field reflect.Value, text string) {
	var err error
	switch {
	case field.Type() == durationType:
		var d time.Duration
		d, err = time.ParseDuration(text)
		field.SetInt(int64(d))
	case field.CanInt():
		var n int64
		n, err = strconv.ParseInt(text, 10, 64)
		field.SetInt(n)
	case field.CanFloat():
		var f float64
		f, err = strconv.ParseFloat(text, 64)
		field.SetFloat(f)
	case field.Kind() == reflect.Bool:
		field.SetBool(text == "true")
	case field.Kind() == reflect.String:
		field.SetString(text)
	case field.Kind() == reflect.Slice && text == "[]":
		field.Set(reflect.MakeSlice(field.Type(), 0, 0))
	default:
		err = errors.ErrUnsupported
	}
	if err != nil {
		panic(fmt.Sprintf("settings: tag %q of type %s: %v", text, field.Type(), err))
	}
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
