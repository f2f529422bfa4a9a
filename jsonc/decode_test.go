package jsonc

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type inner struct {
	Count int64    `json:"count"`
	Tags  []string `json:"tags,omitempty"`
}

type outer struct {
	Name  string        `json:"name"`
	Wait  time.Duration `json:"wait"`
	Share float64       `json:"share"`
	Open  bool          `json:"open"`
	Data  []byte        `json:"data"`
	At    time.Time     `json:"at"`
	Inner inner         `json:"inner"`
	Maybe *inner        `json:"maybe,omitempty"`
	Many  []inner       `json:"many"`
	Plain int
}

// TestFaultsHavePositions guards against a fault with a wrong line or column, and
// against an invalid value being accepted.
func TestFaultsHavePositions(t *testing.T) {
	cases := []struct{ name, src, want string }{
		{"unknown field", "{\n  \"nam\": 1}", "2:3: nam: unknown field; allowed: name, wait, share, open, data, at, inner, maybe, many"},
		{"name in another case", `{"Name": "a"}`, "1:2: Name: unknown field"},
		{"field without a tag", `{"Plain": 1}`, "1:2: Plain: unknown field"},
		{"duplicate name", "{\"name\":\"a\",\n\"name\":\"b\"}", "2:1: name: duplicate name, first on line 1; allowed: each name once"},
		{"duplicate name by escape", `{"name":"a","n\u0061me":"b"}`, "1:13: name: duplicate name, first on line 1"},
		{"null", `{"name": null}`, "1:10: name: null is not allowed; allowed: leave the field out, or a string"},
		{"number for a string", `{"name": 7}`, "1:10: name: found 7; allowed: a string"},
		{"fraction for a whole number", `{"inner": {"count": 1.5}}`, "1:21: inner.count: found 1.5; allowed: a whole number"},
		{"number beyond 64 bits", `{"inner": {"count": 9223372036854775808}}`, "1:21: inner.count: found 9223372036854775808"},
		{"duration without a unit", `{"wait": "9"}`, `1:10: wait: found "9"; allowed: a duration such as "9s"`},
		{"duration as a number", `{"wait": 9}`, "1:10: wait: found 9; allowed: a duration"},
		{"second element", "{\"many\": [{},\n {\"count\": \"x\"}]}", "2:12: many[1].count: found \"x\""},
		{"column in characters", `{"name": "é", "open": 1}`, "1:23: open: found 1; allowed: true or false"},
		{"array instead of an object", `[]`, "1:1: found an array; allowed: an object with name"},
		{"truncated input", `{"name": "a"`, "1:13: unexpected end of input"},
		{"empty input", ``, "1:1: unexpected end of input"},
		{"nested too deep", `{"many": ` + strings.Repeat("[", 40), "1:41: values are nested too deeply; allowed: at most 32 levels"},
	}
	for _, c := range cases {
		var got outer
		_, faults := Decode([]byte(c.src), &got, WithComments)
		if len(faults) != 1 || !strings.HasPrefix(faults[0].String(), c.want) {
			t.Errorf("%s: faults = %v, want %s", c.name, faults, c.want)
		}
	}
}

// TestBytes guards against escapes in base64 being read literally, and against
// invalid base64 being accepted.
func TestBytes(t *testing.T) {
	for src, want := range map[string]string{`"aGk="`: "hi", `"\u0061Gk\u003d"`: "hi", `""`: "", `"aGk"`: "fault", `"a*"`: "fault"} {
		var got outer
		_, faults := Decode([]byte(`{"data": `+src+`}`), &got, WithoutComments)
		if data := string(got.Data); (len(faults) > 0) != (want == "fault") || len(faults) == 0 && data != want {
			t.Errorf("%s: got %q, %v", src, data, faults)
		}
	}
}

// TestNestingIgnoresStringsAndComments guards against brackets in strings and
// comments being counted, and against quotes in comments hiding brackets.
func TestNestingIgnoresStringsAndComments(t *testing.T) {
	brackets := strings.Repeat("[", 100)
	for _, src := range []string{
		`{"name": "\"` + brackets + `"}`,
		"{ // \"" + brackets + "\n \"name\": \"a\" /* \" " + brackets + " */ }",
	} {
		var got outer
		if _, faults := Decode([]byte(src), &got, WithComments); len(faults) > 0 {
			t.Errorf("%s: %v", src, faults)
		}
	}
	_, faults := Decode([]byte("// \"\n"+brackets), &outer{}, WithComments)
	if len(faults) != 1 || faults[0].Line != 2 {
		t.Errorf("brackets after a quote in a comment: %v", faults)
	}
}

// TestReportsEveryFault guards against only the first fault of a file being
// reported, so that a user would have to correct one fault per attempt.
func TestReportsEveryFault(t *testing.T) {
	_, faults := Decode([]byte(`{"name": 1, "wait": 2, "inner": {"x": 3}}`), &outer{}, WithComments)
	if len(faults) != 3 {
		t.Errorf("faults = %v, want 3", faults)
	}
}

// TestMarshalRoundTrip guards against Marshal writing text that Decode rejects or
// decodes to another value.
func TestMarshalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := inner{Count: rapid.Int64().Draw(t, "count"), Tags: rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, "tags")}
		want := outer{
			Name:  rapid.String().Draw(t, "name"),
			Wait:  time.Duration(rapid.Int64().Draw(t, "wait")),
			Share: rapid.Float64().Draw(t, "share"),
			Open:  rapid.Bool().Draw(t, "open"),
			Data:  rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "data"),
			At:    time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "at"), 0).UTC(),
			Inner: in,
			Many:  []inner{in, in},
		}
		if rapid.Bool().Draw(t, "has maybe") {
			want.Maybe = &in
		}
		text, err := Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got outer
		if _, faults := Decode(text, &got, WithoutComments); len(faults) > 0 {
			t.Fatalf("%s: %v", text, faults)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// FuzzDecode compares Decode with encoding/json, which must decode everything that
// Decode accepts as standard JSON to the same values.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"count": 3, "tags": ["a", "\u00e9\ud800"]}`, `{"count": -0}`, `{"tags": []}`, `{}`, ``, `{"count": 1e3}`,
		`{"tags": ["` + "\xff" + `"]}`, `{"count": 1,}`, "{/*", `{"":1}`, `[[`, `{"tags":["\"]"]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		var got, want inner
		positions, faults := Decode(src, &got, WithoutComments)
		for _, fault := range faults {
			if fault.Line < 1 || fault.Column < 1 || fault.Message == "" {
				t.Errorf("fault %+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		if err := json.Unmarshal(src, &want); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, encoding/json %+v, %v", src, got, want, err)
		}
		if !positions.IsObject() {
			t.Errorf("%q was accepted but is not an object", src)
		}
	})
}
