package dump

import (
	"encoding/json"
	"slices"
	"strings"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
)

// filter selects parts of a dump; the zero value selects everything.
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
			return filter{}, cmdutil.NewUsageError("the filter %q is not a section's name, program=ID or workspace=NAME", text)
		}
	}

	return f, nil
}

// sections are the sections of a dump by name, as JSON.
type sections map[string]json.RawMessage

// itemOwner holds the fields of a section's item that the filter compares.
type itemOwner struct {
	Program   id.Program   `json:"program"`
	Workspace id.Workspace `json:"workspace"`
}

// selectSections returns the sections of a dump that the filter selects, with the matching items.
func (f *filter) selectSections(state []byte) (sections, error) {
	var all sections
	if err := json.Unmarshal(state, &all); err != nil {
		return nil, err
	}
	for _, name := range f.sections {
		if _, ok := all[name]; !ok {
			return nil, cmdutil.NewUsageError("the dump has no section %q; its sections are %s", name, strings.Join(sortedNames(all), ", "))
		}
	}
	selected := make(sections)
	for name, section := range all {
		if len(f.sections) > 0 && !slices.Contains(f.sections, name) {
			continue
		}
		if matching := f.filterItems(section); matching != nil {
			selected[name] = matching
		}
	}

	return selected, nil
}

func sortedNames(all sections) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// filterItems returns the items of a section that belong to the program or workspace, nil if there are none.
func (f *filter) filterItems(section json.RawMessage) json.RawMessage {
	if f.program == "" && f.workspace == "" {
		return section
	}
	var items []json.RawMessage
	if err := json.Unmarshal(section, &items); err != nil {
		return nil
	}
	matching := slices.DeleteFunc(items, func(item json.RawMessage) bool { return !f.matches(item) })
	if len(matching) == 0 {
		return nil
	}
	filtered, err := json.Marshal(matching)
	if err != nil {
		return nil
	}

	return filtered
}

func (f *filter) matches(item json.RawMessage) bool {
	var owner itemOwner
	if err := json.Unmarshal(item, &owner); err != nil {
		return false
	}
	if f.workspace != "" && owner.Workspace != f.workspace {
		return false
	}

	return f.program == "" || owner.Program == f.program || owner.Program.Root() == f.program
}
