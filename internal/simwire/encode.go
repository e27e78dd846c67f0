package simwire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"appleledge/internal/balancer"
)

// AppendAction appends the line for an instance's action to out. Times are in nanoseconds.
func AppendAction(out []byte, instance string, a balancer.Action) []byte {
	switch a.Kind {
	case balancer.Send:
		out = appendRequest(out, "Send", instance, a)
		out = appendString(out, `,"Backend":`, a.Server)
		if a.After > 0 {
			out = appendUint(out, `,"TryForNs":`, uint64(a.After))
		}
	case balancer.Cancel:
		out = appendRequest(out, "Cancel", instance, a)
		out = appendUint(out, `,"RoundNo":`, uint64(a.Attempt))
	case balancer.Reject:
		out = appendRequest(out, "Shed", instance, a)
		if a.After > 0 {
			out = appendUint(out, `,"ComeBackNs":`, uint64(a.After))
		}
	case balancer.Fail:
		out = appendRequest(out, "FinishError", instance, a)
	case balancer.SetTimer:
		out = appendUint(appendStart(out, "Schedule", instance), `,"Handle":`, a.Token)
		out = appendUint(out, `,"FromNowNs":`, uint64(max(a.After, 0)))
	case balancer.HealthCheck:
		out = appendString(appendStart(out, "Poll", instance), `,"Backend":`, a.Server)
	case balancer.Subscribe:
		out = append(appendStart(out, "Listen", instance), `,"On":true`...)
	case balancer.Broadcast:
		out = append(appendStart(out, "Publish", instance), `,"Whom":"*","Blob":"`...)
		out = append(base64.StdEncoding.AppendEncode(out, a.Data), '"')
	}
	return append(out, "}\n"...)
}

// AppendYield appends the line that ends a reply to out.
func AppendYield(out []byte) []byte { return append(out, `{"type":"Yield"}`+"\n"...) }

// appendStart appends the fields that every action has.
func appendStart(out []byte, kind, instance string) []byte {
	out = append(out, `{"type":"`...)
	out = append(out, kind...)
	return appendString(out, `","I":`, instance)
}

// appendRequest appends the fields of an action that concerns a request.
func appendRequest(out []byte, kind, instance string, a balancer.Action) []byte {
	return appendString(appendStart(out, kind, instance), `,"Tid":`, a.Request)
}

func appendUint(out []byte, key string, n uint64) []byte {
	return strconv.AppendUint(append(out, key...), n, 10)
}

// appendString appends a key and a string: printable ASCII, as ids are, as it is, anything else by encoding/json.
func appendString(out []byte, key, s string) []byte {
	out = append(out, key...)
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}
