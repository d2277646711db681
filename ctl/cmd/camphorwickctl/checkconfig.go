package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"camphorwick.dev/ctl"
	"camphorwick.dev/gateway/configcheck"
	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/platform"
)

type checkConfigCommand struct {
	app *app
	outputFormat
	InForce string            `long:"in-force" description:"the configuration in force, to compare with" value-name:"FILE"`
	Region  map[string]string `long:"region" description:"region of a data centre; may be repeated, without any regions are not checked" value-name:"DATA_CENTRE:REGION"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"the configuration as it is to be sent; - for standard input"`
	} `positional-args:"yes"`
}

// checkResult is the output of the command.
type checkResult struct {
	Findings []configcheck.Finding `json:"findings"`
	// Differences are what differs from the version in force; null if none was given.
	Differences []configcheck.Difference `json:"differences"`
}

// errFindings means that a configuration has errors. They are printed.
var errFindings = errors.New("the configuration has errors")

// Execute implements flags.Commander.
func (c *checkConfigCommand) Execute([]string) error {
	next, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	result := checkResult{Findings: []configcheck.Finding{}}
	var inForce *routing.Config
	if c.InForce != "" {
		if inForce, err = c.read(c.InForce); err != nil {
			return err
		}
		result.Differences = append([]configcheck.Difference{}, configcheck.Diff(inForce, next)...)
	}
	regions := slices.Collect(maps.Values(c.Region))
	result.Findings = append(result.Findings, configcheck.Check(next, inForce, regions)...)
	if c.Output == "json" {
		err = ctl.WriteJSON(c.app.out, result)
	} else {
		err = result.write(c.app.out)
	}
	if err == nil && configcheck.HasErrors(result.Findings) {
		return &ctl.InputError{Source: c.Args.File, Cause: errFindings}
	}
	return err
}

// read reads and decodes a configuration.
func (c *checkConfigCommand) read(name string) (*routing.Config, error) {
	data, err := c.app.readFile(name)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return nil, &ctl.InputError{Source: name + position(data, err), Cause: err}
	}
	return config, nil
}

// position returns ":LINE:COLUMN" of an error in a JSON document, empty if it is not known.
func position(data []byte, err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	default:
		return ""
	}
	before := data[:min(max(offset, 0), int64(len(data)))]
	return fmt.Sprintf(":%d:%d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// write prints the result as text.
func (r *checkResult) write(w io.Writer) error {
	var out bytes.Buffer
	for _, f := range r.Findings {
		fmt.Fprintf(&out, "%-8s %s: %s\n", f.Severity, f.Subject, f.Text)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&out, "%-8s %s\n", d.Change, d.Subject)
		for _, f := range d.Fields {
			fmt.Fprintf(&out, "         %s: %s -> %s\n", f.Name, f.Old, f.New)
		}
	}
	if out.Len() == 0 {
		out.WriteString("no findings\n")
	}
	_, err := w.Write(out.Bytes())
	return err
}
