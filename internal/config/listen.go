package config

import (
	"cmp"
	"net"

	"github.com/zeebo/errs"

	"stoneford/schema"
)

// Listen opens a process's listeners for other processes and for HTTP. A listener binds to
// the advertised address unless the configuration sets another address to bind to.
func Listen(boot *schema.Boot) (nodes, http net.Listener, err error) {
	if nodes, err = net.Listen("tcp", cmp.Or(boot.Bind, boot.Listen)); err != nil {
		return nil, nil, err
	}
	if http, err = net.Listen("tcp", cmp.Or(boot.BindHttp, boot.Http)); err != nil {
		return nil, nil, errs.Combine(err, nodes.Close())
	}
	return nodes, http, nil
}
