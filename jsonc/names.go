package jsonc

import "github.com/tailscale/hujson"

// TopLevelNames returns the names in the object that src holds, or none where
// src does not parse. They tell the kinds of files apart.
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
