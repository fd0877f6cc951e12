package ports

import (
	"slices"
	"testing"
)

// TestPositionsAreOrderedByTermFirst: a later term comes after every commit of an
// earlier one.
func TestPositionsAreOrderedByTermFirst(t *testing.T) {
	ordered := []Position{{}, {Term: 1, Number: 1}, {Term: 1, Number: 9}, {Term: 2, Number: 3}, {Term: 2, Number: 4}}
	for i, p := range ordered {
		for j, q := range ordered {
			if p.Before(q) != (i < j) {
				t.Errorf("%v before %v: %t", p, q, p.Before(q))
			}
		}
		if p.Known() != (i > 0) {
			t.Errorf("%v is known: %t", p, p.Known())
		}
	}
}

// TestNoEffectWithoutRunning: of a statement that was not run nothing takes effect; an
// unknown prepared statement guarantees nothing, since its transaction goes on.
func TestNoEffectWithoutRunning(t *testing.T) {
	for code := range UnknownCode + 1 {
		if code.NotRun() && !code.NoEffect() && code != UnknownPreparedStatement {
			t.Errorf("code %d was not run and may have an effect", code)
		}
	}
	if InDoubt.NoEffect() || Timeout.NoEffect() || Done.NoEffect() || UnknownCode.NoEffect() {
		t.Error("an end that may have had an effect guarantees none")
	}
}

func TestSeedVoterAddresses(t *testing.T) {
	config := ProcessConfig{Seeds: []string{"10.0.0.1:80", "no address", "10.0.0.2:81"}, PortFirst: 7440}
	if got := config.SeedVoterAddresses(); !slices.Equal(got, []string{"10.0.0.1:7440", "10.0.0.2:7440"}) {
		t.Error(got)
	}
}
