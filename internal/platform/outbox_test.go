package platform

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"stoneford/internal/ports"
)

// TestRepliesDoNotOverwriteEachOther queues a reply while the one before it is
// still being written, after one longer than what an idle outbox keeps: the two
// replies must not share a buffer.
func TestRepliesDoNotOverwriteEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		caller := newCallerConn(here)
		caller.opening = false
		reply := func(row string) string {
			caller.Reply(ports.Reply{Body: []byte("ROW " + row + "\r\nCOMPLETE 7\r\n")})
			caller.Flush()
			return "ROW " + row + "\r\nCOMPLETE 7\r\nREADY I -\r\n"
		}
		expect(t, there, reply("short"))
		expect(t, there, reply(strings.Repeat("x", 2*maxIdleBuffer)))
		first := reply("first")
		synctest.Wait() // its bytes are being written
		second := reply("other")
		expect(t, there, first+second)
	})
}
