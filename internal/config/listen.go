package config

import (
	"cmp"
	"net"

	"github.com/zeebo/errs"

	"stoneford/schema"
)

// Listen opens the listeners of a process: for other processes and for HTTP. Where
// no address to bind is set, it is the one by which the process is known.
func Listen(boot *schema.Boot) (nodes, http net.Listener, err error) {
	if nodes, err = net.Listen("tcp", cmp.Or(boot.Bind, boot.Listen)); err != nil {
		return nil, nil, err
	}
	if http, err = net.Listen("tcp", cmp.Or(boot.BindHttp, boot.Http)); err != nil {
		return nil, nil, errs.Combine(err, nodes.Close())
	}
	return nodes, http, nil
}
