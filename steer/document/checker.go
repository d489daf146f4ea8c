package document

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// checker validates a decoded document and locates faults in the parsed file.
type checker struct {
	doc  *Document
	root ast.Node
	// region maps a failure domain to its region.
	region map[string]string
}

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// check returns the first fault in the order of the document's sections.
func (c *checker) check() error {
	if err := c.name("$.environment", c.doc.Environment); err != nil {
		return err
	}
	steps := []func() error{
		c.teams, c.regions, c.services, c.routes, c.shifts, c.drains, c.entries,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// failf returns a fault located at path, or at the nearest enclosing node if
// the file has no node at path.
func (c *checker) failf(path, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	for path != "" && path != "$" {
		if node := c.nodeAt(path); node != nil {
			return nodeError(node, message)
		}
		path = path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
	}
	return nodeError(c.root, message)
}

// nodeAt returns the node at path, or nil.
func (c *checker) nodeAt(path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := p.FilterNode(c.root)
	if err != nil {
		return nil
	}
	return node
}

// name checks that a required name is present and well-formed.
func (c *checker) name(path, name string) error {
	if name == "" {
		return c.failf(path, "%s is missing", lastField(path))
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return c.failf(path, "%q is no name: use up to %d of a-z, 0-9 and - inside", name, maxNameLength)
	}
	return nil
}

// lastField returns the last field of a path: "$.teams[0].rate" gives "rate".
func lastField(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}

// firstUses maps a name to the path of its first use; it is used to find
// duplicates.
type firstUses map[string]string

// unique checks that a name is well-formed and not used before.
func (c *checker) unique(seen firstUses, kind, path, name string) error {
	if err := c.name(path, name); err != nil {
		return err
	}
	if _, used := seen[name]; used {
		return c.failf(path, "%s %q stands twice", kind, name)
	}
	seen[name] = path
	return nil
}
