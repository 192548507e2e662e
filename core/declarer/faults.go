package declarer

import (
	"github.com/pkg/errors"

	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

// Files are declaration files that could be decoded.
type Files struct {
	parsed   []parsedFile
	document Document
}

// Decode decodes one base file and any number of overlays without checking them. Unlike Parse, it
// returns the faults of all files; the result is nil if there are any.
func Decode(files []File) (*Files, []*decoder.Error) {
	var faults []*decoder.Error
	for _, f := range files {
		faults = append(faults, decoder.Faults(f.Name, f.Data, &header{})...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	parsed, err := parseFiles(files)
	if err != nil {
		return nil, []*decoder.Error{faultOf(files, err)}
	}
	out := &Files{
		parsed:   parsed,
		document: make(Document),
	}
	for _, p := range parsed {
		if err := out.document.add(p); err != nil {
			return nil, []*decoder.Error{faultOf([]File{p.file}, err)}
		}
	}
	return out, nil
}

// faultOf returns err as a fault; an error that names no file is a fault of the first one.
func faultOf(files []File, err error) *decoder.Error {
	var located *decoder.Error
	if errors.As(err, &located) {
		return located
	}
	f := &decoder.Error{
		Line:   1,
		Detail: err.Error(),
	}
	if len(files) > 0 {
		f.File = files[0].Name
	}
	return f
}

// Document returns the sections of all files.
func (f *Files) Document() Document {
	return f.document
}

// Sites returns the sites of the files in the order of the files; the base is the empty one.
func (f *Files) Sites() []identifier.Site {
	sites := make([]identifier.Site, 0, len(f.parsed))
	for _, p := range f.parsed {
		sites = append(sites, p.site)
	}
	return sites
}

// Faults checks the merged declaration of every site and returns all faults. A fault of the base
// is not repeated for a site whose overlay does not set the faulty key.
func (f *Files) Faults() []*decoder.Error {
	var out []*decoder.Error
	inBase := make(map[fault]bool)
	for _, found := range f.check(f.base(), &out) {
		inBase[found] = true
		out = append(out, locate(found, f.base(), f.parsed))
	}
	for _, p := range f.parsed {
		if p.site == "" {
			continue
		}
		for _, found := range f.check(p, &out) {
			if _, own := p.lines[found.key]; own || !inBase[found] {
				out = append(out, locate(found, p, f.parsed))
			}
		}
	}
	return out
}

// base returns the base file.
func (f *Files) base() parsedFile {
	for _, p := range f.parsed {
		if p.site == "" {
			return p
		}
	}
	// parseFiles requires one.
	return parsedFile{}
}

// check returns the faults of the merged declaration for the site of p. If it can't be merged, that
// is added to unmerged.
func (f *Files) check(p parsedFile, unmerged *[]*decoder.Error) []fault {
	d, err := f.document.At(p.site)
	if err != nil {
		*unmerged = append(*unmerged, faultOf([]File{p.file}, err))
		return nil
	}
	return d.check()
}

// At returns the declaration that applies at site.
func (f *Files) At(site identifier.Site) (*Declaration, error) {
	return f.document.At(site)
}

// Fault returns a fault of a setting at site, by its dotted key, with the file and line that set
// it there.
func (f *Files) Fault(site identifier.Site, key, detail string) *decoder.Error {
	found := fault{
		key:    key,
		detail: detail,
	}
	for _, p := range f.parsed {
		if p.site == site {
			return locate(found, p, f.parsed)
		}
	}
	return &decoder.Error{
		Line:   1,
		Key:    key,
		Detail: detail,
	}
}
