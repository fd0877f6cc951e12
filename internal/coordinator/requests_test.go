package coordinator

import "testing"

// TestWaitingCalls: a call gets the first reply, and one that was given up gets none.
func TestWaitingCalls(t *testing.T) {
	tests := []struct {
		name    string
		play    func(calls *waitingCalls[string])
		replied bool
	}{
		{"replied", func(calls *waitingCalls[string]) { calls.finish(1, "first") }, true},
		{"replied twice", func(calls *waitingCalls[string]) { calls.finish(1, "first"); calls.finish(1, "second") }, true},
		{"another call replied", func(calls *waitingCalls[string]) { calls.finish(2, "first") }, false},
		{"given up before the reply", func(calls *waitingCalls[string]) { calls.remove(1); calls.finish(1, "first") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls waitingCalls[string]
			reply := calls.open(1)
			test.play(&calls)
			select {
			case got := <-reply:
				if !test.replied || got != "first" {
					t.Errorf("the reply is %q", got)
				}
			default:
				if test.replied {
					t.Error("there is no reply")
				}
			}
		})
	}
}
