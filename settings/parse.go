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

// Default returns the default settings. Fields without a default, such as names
// and addresses, are zero.
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

// setText sets a field from the text of a tag. It panics if the text is not valid for
// the type of the field; such a bug in this package is detected by the test of the
// defaults.
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

// Parse decodes and checks settings. It returns all faults in the order of their
// positions in src; the settings are valid only if there are none.
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

// Load reads the settings file at path. The error has one line for each fault; each
// line starts with FILE:LINE:COLUMN.
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

// JSON returns the settings, with defaults filled in, in the form that Parse reads.
func (s Settings) JSON() ([]byte, error) { return jsonc.Marshal(s) }
