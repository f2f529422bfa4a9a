package api

import "time"

// Duration is a time.Duration that is written as "9s" in JSON.
type Duration time.Duration

// MarshalText writes d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Describe says which values a Duration takes.
func (Duration) Describe() string { return `a duration such as "9s" or "250ms"` }
