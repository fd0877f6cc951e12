package main

import (
	"encoding/json"
	"testing"
)

// TestJSONNames: the lines of a file of figures have the names that earlier ones have.
func TestJSONNames(t *testing.T) {
	for _, x := range []struct {
		shape string
		value any
		json  string
	}{
		{"sample", sample{}, `{"Nodes":0,"Controls":0,"Repeat":0,"At":"","Figures":null,"Missing":null}`},
	} {
		t.Run(x.shape, func(t *testing.T) {
			if b, err := json.Marshal(x.value); err != nil || string(b) != x.json {
				t.Errorf("it is %s, not %s: %v", b, x.json, err)
			}
		})
	}
}
