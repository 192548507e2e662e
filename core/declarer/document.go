package declarer

import (
	"bytes"
	"fmt"
	"maps"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

// Key names one section: "base/rank/urgent" or "site/getxo/rank/urgent".
type Key string

// Document holds every declared section as TOML, by its key.
type Document map[Key][]byte

// File is one declaration file that an operator submits.
type File struct {
	Name string
	Data []byte
}

// Change sets sections by key; an empty value deletes the section.
type Change map[Key][]byte

// parsedFile is one parsed file: the base, which has no site, or a site's overlay.
type parsedFile struct {
	file  File
	site  identifier.Site
	tree  map[string]any
	lines map[string]int
}

// header is the schema of a file: any sections, and the site if it is an overlay.
type header struct {
	Site identifier.Site `toml:"site"`
	Declaration
}

// Parse reads one base file and any number of overlays and checks the merged
// declaration of every site. It returns the first error that it finds.
func Parse(files []File) (Document, error) {
	parsed, err := parseFiles(files)
	if err != nil {
		return nil, err
	}
	doc := make(Document)
	for _, p := range parsed {
		if err := doc.add(p); err != nil {
			return nil, err
		}
	}
	if err := verify(doc, parsed); err != nil {
		return nil, err
	}
	return doc, nil
}

func parseFiles(files []File) ([]parsedFile, error) {
	var parsed []parsedFile
	seen := make(map[identifier.Site]string)
	for _, f := range files {
		p, err := parseFile(f)
		if err != nil {
			return nil, err
		}
		if other, duplicate := seen[p.site]; duplicate {
			return nil, &decoder.Error{
				File:   f.Name,
				Line:   max(p.lines["site"], 1),
				Key:    "site",
				Detail: fmt.Sprintf("%s already declares %s", other, siteLabel(p.site)),
			}
		}
		seen[p.site] = f.Name
		parsed = append(parsed, p)
	}
	if _, ok := seen[""]; !ok {
		return nil, errors.New("no base file: one file must have no \"site\" key")
	}
	return parsed, nil
}

func siteLabel(site identifier.Site) string {
	if site == "" {
		return "the base"
	}
	return fmt.Sprintf("site %q", site)
}

func parseFile(f File) (parsedFile, error) {
	var h header
	if err := decoder.Strict(f.Name, f.Data, &h); err != nil {
		return parsedFile{}, err
	}
	tree := make(map[string]any)
	if err := toml.Unmarshal(f.Data, &tree); err != nil {
		return parsedFile{}, errors.Wrap(err, f.Name)
	}
	delete(tree, "site")
	return parsedFile{
		file:  f,
		site:  h.Site,
		tree:  tree,
		lines: decoder.Lines(f.Data),
	}, nil
}

func (doc Document) add(p parsedFile) error {
	for kind, group := range p.tree {
		sections, ok := group.(map[string]any)
		if !ok {
			return errors.Errorf("%s: %s: want named sections", p.file.Name, kind)
		}
		for name, section := range sections {
			data, err := toml.Marshal(section)
			if err != nil {
				return errors.Wrapf(err, "%s: %s.%s", p.file.Name, kind, name)
			}
			if len(data) == 0 {
				data = []byte("\n")
			}
			doc[keyFor(p.site, kind, name)] = data
		}
	}
	return nil
}

func keyFor(site identifier.Site, kind, name string) Key {
	if site == "" {
		return Key("base/" + kind + "/" + name)
	}
	return Key("site/" + string(site) + "/" + kind + "/" + name)
}

// verify checks the merged declaration of every site. Its error refers to the
// line at which a file sets the faulty key.
func verify(doc Document, parsed []parsedFile) error {
	for _, p := range parsed {
		d, err := doc.At(p.site)
		if err != nil {
			return err
		}
		faults := d.check()
		if len(faults) == 0 {
			continue
		}
		return locate(faults[0], p, parsed)
	}
	return nil
}

func locate(f fault, p parsedFile, parsed []parsedFile) *decoder.Error {
	for _, candidate := range append([]parsedFile{p}, parsed...) {
		if candidate.site != p.site && candidate.site != "" {
			continue
		}
		if line, ok := candidate.lines[f.key]; ok {
			return errorAt(f, candidate, line)
		}
	}
	// The key itself is missing: report the line of the section that lacks it.
	section := f.key[:max(strings.LastIndex(f.key, "."), 0)]
	for _, candidate := range append([]parsedFile{p}, parsed...) {
		if line, ok := candidate.lines[section]; ok {
			return errorAt(f, candidate, line)
		}
	}
	return errorAt(f, p, 1)
}

func errorAt(f fault, p parsedFile, line int) *decoder.Error {
	return &decoder.Error{
		File:   p.file.Name,
		Line:   line,
		Key:    f.key,
		Detail: f.detail,
	}
}

// Check returns the first fault in the base or at a site that has sections in doc.
func (doc Document) Check() error {
	for _, site := range doc.sites() {
		d, err := doc.At(site)
		if err != nil {
			return err
		}
		if faults := d.check(); len(faults) > 0 {
			return errors.Errorf("%s: %s: %s", siteLabel(site), faults[0].key, faults[0].detail)
		}
	}
	return nil
}

func (doc Document) sites() []identifier.Site {
	sites := []identifier.Site{""}
	seen := make(map[string]bool)
	for _, k := range sortedKeys(doc) {
		parts := strings.Split(string(k), "/")
		if parts[0] == "site" && len(parts) == 4 && !seen[parts[1]] {
			seen[parts[1]] = true
			sites = append(sites, identifier.Site(parts[1]))
		}
	}
	return sites
}

// At returns the declaration that applies at site: the base merged with the site's
// overlay.
func (doc Document) At(site identifier.Site) (*Declaration, error) {
	return doc.Refresh(&Declaration{}, site, sortedKeys(doc))
}

// Refresh returns a copy of d, the declaration at site, in which the sections
// with the given keys are read again from doc. Keys of other sites are ignored.
func (doc Document) Refresh(d *Declaration, site identifier.Site, keys []Key) (*Declaration, error) {
	next := d.clone()
	done := make(map[string]bool)
	for _, k := range keys {
		kind, name, ok := k.section(site)
		if !ok || done[kind+"/"+name] {
			continue
		}
		done[kind+"/"+name] = true
		if err := doc.refreshSection(next, site, kind, name); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// section returns the kind and name of the section that a key sets at site; ok
// is false if the key belongs to another site.
func (k Key) section(site identifier.Site) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(string(k), "base/")
	if !ok {
		rest, ok = strings.CutPrefix(string(k), "site/"+string(site)+"/")
	}
	if !ok {
		return "", "", false
	}
	kind, name, ok = strings.Cut(rest, "/")
	return kind, name, ok
}

// refreshSection reads one section from doc into d; the overlay's keys override
// those of the base.
func (doc Document) refreshSection(d *Declaration, site identifier.Site, kind, name string) error {
	tree := make(map[string]any)
	found := false
	for _, k := range []Key{keyFor("", kind, name), keyFor(site, kind, name)} {
		data, ok := doc[k]
		if !ok {
			continue
		}
		found = true
		section := make(map[string]any)
		if err := toml.Unmarshal(data, &section); err != nil {
			return errors.Wrap(err, string(k))
		}
		mergeTree(tree, section)
	}
	if !found {
		return d.remove(kind, name)
	}
	data, err := toml.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "merge declarations")
	}
	return d.set(siteLabel(site)+": "+kind+"."+name, kind, name, data)
}

// mergeTree merges src into dst, table by table; the values of src override
// those of dst.
func mergeTree(dst, src map[string]any) {
	for k, v := range src {
		child, isTable := v.(map[string]any)
		existing, wasTable := dst[k].(map[string]any)
		if isTable && wasTable {
			mergeTree(existing, child)
			continue
		}
		dst[k] = v
	}
}

// Diff returns the change that turns doc into next.
func (doc Document) Diff(next Document) Change {
	change := make(Change)
	for k, v := range next {
		if !bytes.Equal(doc[k], v) {
			change[k] = v
		}
	}
	for k := range doc {
		if _, ok := next[k]; !ok {
			change[k] = nil
		}
	}
	return change
}

// Apply returns a copy of doc with change applied.
func (doc Document) Apply(change Change) Document {
	next := maps.Clone(doc)
	if next == nil {
		next = make(Document)
	}
	for k, v := range change {
		if len(v) == 0 {
			delete(next, k)
			continue
		}
		next[k] = v
	}
	return next
}

// Keys returns the keys of the change in sorted order.
func (c Change) Keys() []Key {
	return sortedKeys(c)
}
