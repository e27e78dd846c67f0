package extproc

import (
	"slices"
	"strings"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// listedIDs returns the ids of the hinted endpoints that the endpoint list has, sorted. It is never nil, as nil would mean
// that there was no hint.
func (s *Server) listedIDs(hint []string) []string {
	ids := []string{}
	for _, addr := range hint {
		at := s.Pool.IDsAt(addr)
		if len(at) == 0 {
			s.Counts.unknownHints.Add(1)
			s.logOnce.hint.Do(func() {
				s.Log.Warn("a subset hint holds an endpoint that the list does not name; further ones are not logged",
					"endpoint", truncate(addr))
			})
		}
		ids = append(ids, at...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// subsetHint reads the endpoints to choose among: a list of strings, or one string with commas. More than maxEndpoints are a
// BadRequestError.
func subsetHint(req *extprocv3.ProcessingRequest, maxEndpoints int) (addrs []string, there bool, err error) {
	value, there := req.GetMetadataContext().GetFilterMetadata()[SubsetHintNamespace].GetFields()[SubsetHintKey]
	if !there {
		return nil, false, nil
	}
	switch kind := value.GetKind().(type) {
	case *structpb.Value_StringValue:
		addrs = splitAddresses(kind.StringValue, maxEndpoints)
	case *structpb.Value_ListValue:
		for _, v := range kind.ListValue.GetValues() {
			text, ok := v.GetKind().(*structpb.Value_StringValue)
			if !ok {
				return nil, true, badRequest("the subset hint holds what is no endpoint")
			}
			addrs = append(addrs, splitAddresses(text.StringValue, maxEndpoints)...)
			if len(addrs) > maxEndpoints {
				break
			}
		}
	default:
		return nil, true, badRequest("the subset hint is no list of endpoints")
	}
	if len(addrs) > maxEndpoints {
		return nil, true, badRequest("the subset hint holds over %d endpoints", maxEndpoints)
	}
	return addrs, true, nil
}

// splitAddresses splits a string at its commas. It stops after maxEndpoints+1 parts, by which the caller sees that there
// are too many.
func splitAddresses(text string, maxEndpoints int) (out []string) {
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
		if len(out) > maxEndpoints {
			break
		}
	}
	return out
}
