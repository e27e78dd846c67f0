package simwire

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

// get returns a field, or nil when it is absent or null.
func (d *Decoder) get(v *fastjson.Value, key string) *fastjson.Value {
	f := v.Get(key)
	if f == nil || f.Type() == fastjson.TypeNull {
		return nil
	}
	return f
}

// field converts a field of v; an absent one is the zero value. An error is recorded as the fault of the line.
func field[T any](d *Decoder, v *fastjson.Value, key string, convert func(*fastjson.Value) (T, error)) (t T) {
	if f := d.get(v, key); f != nil {
		var err error
		if t, err = convert(f); err != nil {
			d.fault("%s: %v", key, err)
		}
	}
	return t
}

func (d *Decoder) bytes(v *fastjson.Value, key string) []byte {
	return field(d, v, key, (*fastjson.Value).StringBytes)
}

func (d *Decoder) int(v *fastjson.Value, key string) int {
	return field(d, v, key, (*fastjson.Value).Int)
}

func (d *Decoder) uint(v *fastjson.Value, key string) uint64 {
	return field(d, v, key, (*fastjson.Value).Uint64)
}

func (d *Decoder) time(v *fastjson.Value, key string) time.Duration {
	return time.Duration(field(d, v, key, (*fastjson.Value).Int64))
}

func (d *Decoder) float(v *fastjson.Value, key string) float64 {
	return field(d, v, key, (*fastjson.Value).Float64)
}

func (d *Decoder) bool(v *fastjson.Value, key string) bool {
	return field(d, v, key, (*fastjson.Value).Bool)
}

func (d *Decoder) array(v *fastjson.Value, key string) []*fastjson.Value {
	return field(d, v, key, (*fastjson.Value).Array)
}

func (d *Decoder) string(v *fastjson.Value, key string) string { return string(d.bytes(v, key)) }

// internedString returns a string field of which there are few values, such as the ids of servers and instances: one copy each.
func (d *Decoder) internedString(v *fastjson.Value, key string) string {
	text := d.bytes(v, key)
	s, ok := d.internedNames[string(text)]
	if !ok {
		s = string(text)
		d.internedNames[s] = s
	}
	return s
}

func (d *Decoder) fault(format string, args ...any) {
	if d.firstFault == nil {
		d.firstFault = fmt.Errorf(format, args...)
	}
}
