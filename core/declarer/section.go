package declarer

import (
	"maps"

	"github.com/pkg/errors"

	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

// The kinds of sections.
const (
	rankKind     = "rank"
	serviceKind  = "service"
	customerKind = "customer"
	operatorKind = "operator"
	linkKind     = "link"
)

// clone returns a copy of d whose maps can be changed without changing those of d.
func (d *Declaration) clone() *Declaration {
	return &Declaration{
		Rank:     cloneMap(d.Rank),
		Service:  cloneMap(d.Service),
		Customer: cloneMap(d.Customer),
		Operator: cloneMap(d.Operator),
		Link:     cloneMap(d.Link),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// set decodes one section strictly into d. Errors report source as the file name.
func (d *Declaration) set(source, kind, name string, data []byte) error {
	switch kind {
	case rankKind:
		return decodeSection(source, data, d.Rank, identifier.Rank(name))
	case serviceKind:
		return decodeSection(source, data, d.Service, identifier.Service(name))
	case customerKind:
		return decodeSection(source, data, d.Customer, identifier.Customer(name))
	case operatorKind:
		return decodeSection(source, data, d.Operator, name)
	case linkKind:
		return decodeSection(source, data, d.Link, name)
	}
	return errors.Errorf("%s: unknown kind of section %q", source, kind)
}

func decodeSection[K comparable, V any](source string, data []byte, sections map[K]V, name K) error {
	var v V
	if err := decoder.Strict(source, data, &v); err != nil {
		return err
	}
	sections[name] = v
	return nil
}

// remove deletes a section from d.
func (d *Declaration) remove(kind, name string) error {
	switch kind {
	case rankKind:
		delete(d.Rank, identifier.Rank(name))
	case serviceKind:
		delete(d.Service, identifier.Service(name))
	case customerKind:
		delete(d.Customer, identifier.Customer(name))
	case operatorKind:
		delete(d.Operator, name)
	case linkKind:
		delete(d.Link, name)
	default:
		return errors.Errorf("unknown kind of section %q", kind)
	}
	return nil
}
