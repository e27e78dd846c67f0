package xds

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// Numbers of fields of the protocol's messages: ClusterLoadAssignment.endpoints and LocalityLbEndpoints.lb_endpoints.
const (
	fieldEndpoints   protowire.Number = 2
	fieldLbEndpoints protowire.Number = 2
)

// splitEndpoints takes the endpoints out of an encoded ClusterLoadAssignment. It returns what is left of the message, and the encoded
// endpoints by locality.
func splitEndpoints(body []byte) (rest []byte, endpoints [][][]byte, err error) {
	rest, err = rewriteFields(body, func(number protowire.Number, value []byte, rest []byte) ([]byte, error) {
		if number != fieldEndpoints {
			return nil, errKeepField
		}
		var own [][]byte
		inner, err := rewriteFields(value, func(number protowire.Number, value, rest []byte) ([]byte, error) {
			if number != fieldLbEndpoints {
				return nil, errKeepField
			}
			own = append(own, value)
			return rest, nil
		})
		endpoints = append(endpoints, own)
		return protowire.AppendBytes(protowire.AppendTag(rest, fieldEndpoints, protowire.BytesType), inner), err
	})
	return rest, endpoints, err
}

// errKeepField is what a function given to rewriteFields returns for a field that stays as it is.
var errKeepField = errors.New("the field stays")

// rewriteFields goes through the fields of an encoded message. It hands those that are messages, texts or bytes to rewrite, which returns
// the rest of the message so far with its own addition.
func rewriteFields(body []byte, rewrite func(number protowire.Number, value, rest []byte) ([]byte, error)) (rest []byte, err error) {
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		size := protowire.ConsumeFieldValue(number, kind, body[n:])
		if size < 0 {
			return nil, protowire.ParseError(size)
		}
		field := body[:n+size]
		body = body[n+size:]
		if kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(field[n:])
			changed, err := rewrite(number, value, rest)
			if err == nil {
				rest = changed
				continue
			}
			if !errors.Is(err, errKeepField) {
				return nil, err
			}
		}
		rest = append(rest, field...)
	}
	return rest, nil
}
