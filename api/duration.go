package api

import "time"

// Duration is a time.Duration that is encoded as a string such as "9s" in JSON.
type Duration time.Duration

// MarshalText encodes d with time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Describe returns a description of the valid values, for error messages.
func (Duration) Describe() string { return `a duration such as "9s" or "250ms"` }
