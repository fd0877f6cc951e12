package fleetsimulation
import ("testing";"fmt";"strings")
func TestDbg(t *testing.T) {
	dbg=true
	f := faulty(plan(281), 1_800_000)
	for _, s := range f.Says { if strings.Contains(s, "stock-3") || strings.Contains(s,"FAULT")|| strings.Contains(s,"VIOL") { fmt.Println(s) } }
}
