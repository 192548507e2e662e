package printer

import (
	"fmt"
	"io"

	"heatherhold.dev/operator/checker"
)

// Checked prints the result of a check and, if against is not nil, what differs from the version
// in force.
func Checked(w io.Writer, output string, report checker.Report, against *Comparison) error {
	if output == JSON {
		return writeJSON(w, struct {
			checker.Report
			Against *Comparison `json:"against,omitempty"`
		}{
			Report:  report,
			Against: against,
		})
	}
	for _, f := range report.Findings {
		if _, err := fmt.Fprintln(w, formatFinding(f)); err != nil {
			return err
		}
	}
	if len(report.Findings) == 0 {
		if _, err := fmt.Fprintf(w, "no findings: %d sections\n", report.Sections); err != nil {
			return err
		}
	}
	if against == nil {
		return nil
	}
	return against.write(w)
}

// formatFinding formats a finding like an error of a declaration file.
func formatFinding(f checker.Finding) string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Detail)
}
