package operators

import (
	"errors"
	"net"
)

// isDialError says that the other side was never reached.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
