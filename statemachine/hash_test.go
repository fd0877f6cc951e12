package statemachine

import (
	"slices"
	"testing"
)

// TestHashIsStable: processes of different builds rank nodes and digest keys alike.
func TestHashIsStable(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []string
		want  uint64
	}{
		{"nothing", nil, 0xf52a15e9a9b5e89b},
		{"one part", []string{"a"}, 0xd0137a57d0ef408f},
		{"two parts", []string{"a", "b"}, 0xffc0df9d73e03779},
		{"parts do not run together", []string{"ab"}, 0xe2085096df8fb4ed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Hash(c.parts...); got != c.want {
				t.Errorf("%#x, not %#x", got, c.want)
			}
			if got := FirstRequestNumber(c.parts...); got != c.want>>requestNumberShift {
				t.Errorf("the first request number is %#x", got)
			}
		})
	}
}

// TestRankWithoutOneName: a name that goes leaves the others in their order, and the
// names given are not reordered.
func TestRankWithoutOneName(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	ranked := Rank("key", names)
	if !slices.Equal(names, []string{"a", "b", "c", "d", "e"}) {
		t.Fatalf("the argument became %v", names)
	}
	for i, gone := range ranked {
		rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == gone })
		if want := slices.Delete(slices.Clone(ranked), i, i+1); !slices.Equal(Rank("key", rest), want) {
			t.Errorf("without %s: %v, not %v", gone, Rank("key", rest), want)
		}
	}
}
