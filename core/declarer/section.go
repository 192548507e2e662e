package declarer

import (
	"maps"

	"github.com/pkg/errors"

	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

// Kinds of sections.
const (
	rankKind     = "rank"
	serviceKind  = "service"
	customerKind = "customer"
	operatorKind = "operator"
	linkKind     = "link"
)

// clone returns a copy whose maps may be changed.
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

// set reads one section strictly into d.
func (d *Declaration) set(place, kind, name string, data []byte) error {
	switch kind {
	case rankKind:
		return read(place, data, d.Rank, identifier.Rank(name))
	case serviceKind:
		return read(place, data, d.Service, identifier.Service(name))
	case customerKind:
		return read(place, data, d.Customer, identifier.Customer(name))
	case operatorKind:
		return read(place, data, d.Operator, name)
	case linkKind:
		return read(place, data, d.Link, name)
	}
	return errors.Errorf("%s: there is no kind of section %q", place, kind)
}

func read[K comparable, V any](place string, data []byte, into map[K]V, name K) error {
	var v V
	if err := decoder.Strict(place, data, &v); err != nil {
		return err
	}
	into[name] = v
	return nil
}

// remove takes a section out of d.
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
		return errors.Errorf("there is no kind of section %q", kind)
	}
	return nil
}
