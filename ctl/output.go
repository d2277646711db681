package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between table columns.
const columnGap = 2

// FleetLegend explains the fleet table.
const FleetLegend = `
STATE     live: the session works; suspected: 3 heartbeats missed, gets no new work;
          draining: finishes its work and takes no more; unreachable: no session
MARK      leaving or stopping, set by an operator; - means none
REVISION  configuration revision in force at the process
SERVES    models or service of the backend server
RUNNING   requests in progress; QUEUED: requests waiting in the agent
KV        KV-cache memory reserved, of all tokens of the engine
The table is the view of one entry.
`

// WriteFleet writes the fleet table, ordered by data centre, role and VM, with its
// legend.
func WriteFleet(w io.Writer, fleet *Fleet) error {
	sortVMs(fleet.VMs)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "DATA CENTRE\tROLE\tVM\tSTATE\tMARK\tREVISION\tSERVES\tRUNNING\tQUEUED\tKV\n")
	for _, vm := range fleet.VMs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", orDash(vm.DataCentre), vm.Role, vm.VM, vm.State,
			orDash(vm.Mark), vm.ConfigRevision, orDash(strings.Join(append(vm.Models, vm.Service), " ")), loadColumns(vm))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write fleet table: %w", err)
	}
	_, err := fmt.Fprintf(w, "%sConfiguration revision of this entry: %d\n", FleetLegend, fleet.Revision)
	return err
}

func sortVMs(vms []VM) {
	sort.Slice(vms, func(a, b int) bool {
		x, y := vms[a], vms[b]
		if x.DataCentre != y.DataCentre {
			return x.DataCentre < y.DataCentre
		}
		if x.Role != y.Role {
			return x.Role < y.Role
		}
		return x.VM < y.VM
	})
}

// loadColumns returns the columns RUNNING, QUEUED and KV. Entries report no load.
func loadColumns(vm VM) string {
	if vm.Role == "entry" {
		return "-\t-\t-"
	}
	kv := "-"
	if vm.KVTokens > 0 {
		kv = fmt.Sprintf("%d/%d", vm.KVReserved, vm.KVTokens)
	}
	return fmt.Sprintf("%d\t%d\t%s", vm.Running, vm.Queued, kv)
}

func orDash(s string) string {
	if s = strings.TrimSpace(s); s == "" {
		return "-"
	}
	return s
}

// WriteItems writes items as a table.
func WriteItems(w io.Writer, config *Config) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "KEY\tREVISION\tVALUE\n")
	for _, item := range config.Items {
		fmt.Fprintf(t, "%s\t%d\t%s\n", item.Key, item.Revision, item.Value)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write items: %w", err)
	}
	return nil
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// WriteDiff writes differences, one block per item: "-" lines are in force,
// "+" lines are in the file.
func WriteDiff(w io.Writer, differences []Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, d := range differences {
		verb := "change"
		switch {
		case d.Value == nil:
			verb = "delete"
		case d.InForce.Value == nil:
			verb = "add"
		}
		fmt.Fprintf(w, "%s %s (revision %d in force)\n", verb, d.Key, d.InForce.Revision)
		before, after := indentedLines(d.InForce.Value), indentedLines(d.Value)
		writeMissing(w, "-", before, after)
		writeMissing(w, "+", after, before)
	}
}

// writeMissing writes the lines of list that other does not have.
func writeMissing(w io.Writer, sign string, list, other []string) {
	known := map[string]int{}
	for _, line := range other {
		known[line]++
	}
	for _, line := range list {
		if known[line] > 0 {
			known[line]--
			continue
		}
		fmt.Fprintf(w, "  %s %s\n", sign, line)
	}
}

// indentedLines returns a document as indented lines without trailing commas. With
// the commas, adding a last field would also change the line before it.
func indentedLines(value json.RawMessage) []string {
	if len(value) == 0 {
		return nil
	}
	var out bytes.Buffer
	if json.Indent(&out, value, "", "  ") != nil {
		return []string{string(value)}
	}
	all := strings.Split(out.String(), "\n")
	for i := range all {
		all[i] = strings.TrimSuffix(all[i], ",")
	}
	return all
}
