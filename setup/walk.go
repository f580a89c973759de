package setup

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/samber/lo"
)

// walk compares decoded JSON with the type that it is decoded into. It reports all unknown fields
// and type mismatches, whereas json.Unmarshal ignores the former and returns only the first of the
// latter.
func walk(path string, got any, want reflect.Type) []*ValueError {
	if reflect.PointerTo(want).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return walkUnmarshaler(path, got, want)
	}
	switch want.Kind() {
	case reflect.Pointer:
		return walk(path, got, want.Elem())
	case reflect.Struct:
		return walkObject(path, got, want)
	case reflect.Slice:
		return walkList(path, got, want)
	case reflect.Map:
		return walkMap(path, got, want)
	}
	return walkScalar(path, got, want)
}

func walkUnmarshaler(path string, got any, want reflect.Type) []*ValueError {
	b, err := json.Marshal(got)
	if err != nil {
		return nil
	}
	err = json.Unmarshal(b, reflect.New(want).Interface())
	if err == nil {
		return nil
	}
	var v *ValueError
	if !errors.As(err, &v) {
		v = &ValueError{
			Got:  string(b),
			Want: err.Error(),
		}
	}
	v.Path = path
	return []*ValueError{v}
}

func walkObject(path string, got any, want reflect.Type) []*ValueError {
	m, ok := got.(map[string]any)
	if !ok {
		return typeMismatch(path, got, "an object")
	}
	fields := make(map[string]reflect.Type)
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = want.Field(i).Type
		}
	}
	var out []*ValueError
	for _, name := range sortedKeys(m) {
		t, known := fields[name]
		if !known {
			names := lo.Keys(fields)
			sort.Strings(names)
			out = append(out, &ValueError{
				Path: joinPath(path, name),
				Got:  "an unknown field",
				Want: "one of " + strings.Join(names, ", "),
			})
			continue
		}
		out = append(out, walk(joinPath(path, name), m[name], t)...)
	}
	return out
}

func walkList(path string, got any, want reflect.Type) []*ValueError {
	items, ok := got.([]any)
	if !ok {
		if got == nil {
			return nil
		}
		return typeMismatch(path, got, "a list")
	}
	var out []*ValueError
	for i, item := range items {
		out = append(out, walk(fmt.Sprintf("%s[%d]", path, i), item, want.Elem())...)
	}
	return out
}

func walkMap(path string, got any, want reflect.Type) []*ValueError {
	m, ok := got.(map[string]any)
	if !ok {
		if got == nil {
			return nil
		}
		return typeMismatch(path, got, "an object")
	}
	var out []*ValueError
	for _, name := range sortedKeys(m) {
		out = append(out, walk(joinPath(path, name), m[name], want.Elem())...)
	}
	return out
}

func walkScalar(path string, got any, want reflect.Type) []*ValueError {
	b, err := json.Marshal(got)
	if err != nil {
		return nil
	}
	if got != nil && json.Unmarshal(b, reflect.New(want).Interface()) == nil {
		return nil
	}
	return typeMismatch(path, got, typeName(want))
}

func typeMismatch(path string, got any, want string) []*ValueError {
	b, _ := json.Marshal(got)
	return []*ValueError{{
		Path: path,
		Got:  string(b),
		Want: want,
	}}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func sortedKeys(m map[string]any) []string {
	keys := lo.Keys(m)
	sort.Strings(keys)
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
