package jsonc

import "github.com/tailscale/hujson"

// TopLevelNames returns the field names of the object in src, or nil if src does
// not parse or is not an object. The names distinguish settings from documents.
func TopLevelNames(src []byte) []string {
	if _, ok := checkNesting(newPositions(src)); !ok {
		return nil
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return nil
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	names := make([]string, len(object.Members))
	for i, member := range object.Members {
		names[i] = member.Name.Value.(hujson.Literal).String()
	}
	return names
}
