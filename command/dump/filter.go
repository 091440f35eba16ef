package dump

import (
	"encoding/json"
	"slices"
	"strings"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// filter says which parts of a dump to show; its zero value shows all.
type filter struct {
	sections  []string
	program   id.Program
	workspace id.Workspace
}

func parseFilters(texts []string) (filter, error) {
	var f filter
	for _, text := range texts {
		field, value, ok := strings.Cut(text, "=")
		switch {
		case !ok && text != "":
			f.sections = append(f.sections, text)
		case field == "program" && value != "":
			f.program = id.Program(value)
		case field == "workspace" && value != "":
			f.workspace = id.Workspace(value)
		default:
			return filter{}, cmdutil.Usage("the filter %q is not a section's name, program=ID or workspace=NAME", text)
		}
	}

	return f, nil
}

// sections are the parts of a dump by name.
type sections map[string]json.RawMessage

// owned is what the filter reads of an item of a section.
type owned struct {
	Program   id.Program   `json:"program"`
	Workspace id.Workspace `json:"workspace"`
}

// apply returns the sections of a dump that the filter lets through.
func (f *filter) apply(state []byte) (sections, error) {
	var all sections
	if err := json.Unmarshal(state, &all); err != nil {
		return nil, err
	}
	for _, name := range f.sections {
		if _, ok := all[name]; !ok {
			return nil, cmdutil.Usage("the dump has no section %q; its sections are %s", name, strings.Join(namesOf(all), ", "))
		}
	}
	shown := make(sections)
	for name, section := range all {
		if len(f.sections) > 0 && !slices.Contains(f.sections, name) {
			continue
		}
		if kept := f.narrow(section); kept != nil {
			shown[name] = kept
		}
	}

	return shown, nil
}

func namesOf(all sections) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// narrow returns the items of a section that belong to the program or workspace, nil for none.
func (f *filter) narrow(section json.RawMessage) json.RawMessage {
	if f.program == "" && f.workspace == "" {
		return section
	}
	var items []json.RawMessage
	if err := json.Unmarshal(section, &items); err != nil {
		return nil
	}
	kept := slices.DeleteFunc(items, func(item json.RawMessage) bool { return !f.owns(item) })
	if len(kept) == 0 {
		return nil
	}
	narrowed, err := json.Marshal(kept)
	if err != nil {
		return nil
	}

	return narrowed
}

func (f *filter) owns(item json.RawMessage) bool {
	var of owned
	if err := json.Unmarshal(item, &of); err != nil {
		return false
	}
	if f.workspace != "" && of.Workspace != f.workspace {
		return false
	}

	return f.program == "" || of.Program == f.program || of.Program.Root() == f.program
}
