package platform

import (
	"errors"
	"fmt"
	"strconv"

	"stoneford/internal/ports"
)

// appendOp appends one operation. A caller's operation is forwarded as it arrived, except for
// the position that it requires and the name of a prepared statement.
func appendOp(data []byte, o ports.Op) ([]byte, error) {
	if o.Internal {
		return appendInternal(data, o)
	}
	return appendForwarded(data, o)
}

// appendInternal appends an internal operation, which the node itself creates.
func appendInternal(data []byte, o ports.Op) ([]byte, error) {
	data = append(data, verbQuery+" "+internalStatementID+" "...)
	name := o.Statement.Name
	if o.PreparedName != "" {
		name = o.PreparedName
	}
	switch o.Statement.Kind {
	case ports.SetValue:
		data = append(append(append(append(data, keywordSetVar+" "...), name...), ' '), o.Statement.Text...)
	case ports.Prepare:
		data = append(append(append(data, keywordPrepare+" "...), name...), ' ')
		if o.Statement.Writes {
			data = append(data, keywordStore+" "...)
		} else {
			data = append(data, keywordFetch+" "...)
		}
		data = append(data, o.Statement.Text...)
	case ports.Deallocate:
		data = append(append(data, keywordRelease+" "...), name...)
	case ports.Rollback:
		data = append(data, keywordAbort...)
	case ports.Reset:
		data = append(data, keywordReset...)
	case ports.Status:
		data = append(data, keywordStatus...)
	case ports.FreezeReplication:
		data = strconv.AppendUint(append(data, keywordFreeze+" "...), o.Term, 10)
	case ports.ResumeReplication:
		data = append(data, keywordUnfreeze...)
	case ports.StepDown:
		data = strconv.AppendUint(append(data, keywordStepDown+" "...), o.Term, 10)
	default:
		return data, fmt.Errorf("internal operation with unsupported statement kind %d", o.Statement.Kind)
	}
	return append(data, crlf...), nil
}

// appendForwarded appends an operation that forwards a caller's statement.
func appendForwarded(data []byte, o ports.Op) ([]byte, error) {
	raw := o.Statement.Raw
	if len(raw) == 0 || o.Statement.Kind == ports.BadStatement {
		return data, errors.New("cannot forward a malformed statement or one without its message")
	}
	if !o.MinPosition.Known() && o.PreparedName == "" {
		return append(data, raw...), nil
	}
	// The position goes after QUERY and the ID.
	at := skipField(raw, skipField(raw, 0))
	data = append(data, raw[:at]...)
	if o.MinPosition.Known() {
		data = append(appendPosition(append(data, keywordAfterPosition+" "...), o.MinPosition), ' ')
	}
	if o.PreparedName != "" {
		from := skipField(raw, at)
		to := from
		for to < len(raw) && raw[to] != ' ' && raw[to] != '\r' {
			to++
		}
		data = append(append(data, raw[at:from]...), o.PreparedName...)
		at = to
	}
	return append(data, raw[at:]...), nil
}
