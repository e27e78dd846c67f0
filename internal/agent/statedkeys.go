package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// statedKeys are the paths of the keys that a configuration file states. A key of a list's entries counts if all entries state it.
type statedKeys map[string]bool

// optionalKeys are those that the platform may leave out at any time.
var optionalKeys = []string{"known", "operator", "AimStretch", "PassesDeadline", "WarmKeys"}

// parseStatedKeys returns the keys of a configuration's text.
func parseStatedKeys(data []byte) (statedKeys, error) {
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	k := statedKeys{}
	k.collect("", all)
	return k, nil
}

func (k statedKeys) collect(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, part := range v {
			if slices.Contains(optionalKeys, name) || part == nil {
				continue
			}
			k[path+name] = true
			k.collect(path+name+".", part)
		}
	case []any:
		var common statedKeys
		for _, entry := range v {
			of := statedKeys{}
			of.collect(path+"*.", entry)
			if common == nil {
				common = of
			}
			maps.DeleteFunc(common, func(name string, _ bool) bool { return !of[name] })
		}
		maps.Copy(k, common)
	}
}

// checkStates returns an error that names the keys of an earlier configuration which are missing in this one.
func (k statedKeys) checkStates(before statedKeys) error {
	var missing []string
	for name := range before {
		if !k[name] {
			missing = append(missing, name)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return fmt.Errorf("it does not state %s", strings.Join(missing[:min(len(missing), 5)], ", "))
}
