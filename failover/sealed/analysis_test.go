package sealed

import "testing"

// TestEveryAnalysisHasARecovery: recoveries has a function for each code.
func TestEveryAnalysisHasARecovery(t *testing.T) {
	for code, recovery := range recoveries {
		if recovery == nil {
			t.Errorf("analysis %d has no recovery", code)
		}
	}
}
