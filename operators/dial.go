package operators

import (
	"errors"
	"net"
)

// dialed says that the other side was never reached.
func dialed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
