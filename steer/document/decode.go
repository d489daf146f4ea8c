package document

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the largest document, in bytes.
const MaxSize = 2 << 20

// Decode reads and checks a document and fills in its defaults. The file name
// is used in errors only. Every error is an *Error for the first fault.
func Decode(file string, content []byte) (*Document, error) {
	root, doc, err := read(content)
	if err != nil {
		return nil, withFile(file, err)
	}
	doc.fillDefaults()
	c := &checker{doc: doc, root: root}
	if err := c.check(); err != nil {
		return nil, withFile(file, err)
	}
	return doc, nil
}

// read parses and decodes content without checking it. The YAML library panics
// on some malformed files; the panic becomes an error so that it does not end
// the process.
func read(content []byte) (root ast.Node, doc *Document, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &Error{Message: fmt.Sprintf("the file can't be read as YAML: %v", cause)}
		}
	}()
	if root, err = parse(content); err != nil {
		return nil, nil, err
	}
	doc = &Document{}
	err = yaml.NodeToValue(root, doc, yaml.Strict())
	return root, doc, err
}

// parse returns the root node of the single YAML document in content.
func parse(content []byte) (ast.Node, error) {
	if len(content) > MaxSize {
		return nil, &Error{Message: fmt.Sprintf("the document is larger than %d bytes", MaxSize)}
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, &Error{Message: fmt.Sprintf("there are %d YAML documents; one is expected", countBodies(file))}
	}
	root := file.Docs[0].Body
	finder := &disallowedNodeFinder{}
	ast.Walk(finder, root)
	if finder.found != nil {
		return nil, nodeError(finder.found, "anchors, aliases, merge keys and tags are not allowed")
	}
	return root, nil
}

func countBodies(file *ast.File) int {
	count := 0
	for _, doc := range file.Docs {
		if doc.Body != nil {
			count++
		}
	}
	return count
}

// disallowedNodeFinder finds the first anchor, alias, merge key or tag.
type disallowedNodeFinder struct {
	found ast.Node
}

// Visit implements ast.Visitor.
func (f *disallowedNodeFinder) Visit(node ast.Node) ast.Visitor {
	if f.found != nil {
		return nil
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		f.found = node
		return nil
	default:
		return f
	}
}

// withFile converts any decoding error into an *Error that names the file.
func withFile(file string, err error) error {
	var docErr *Error
	if errors.As(err, &docErr) {
		located := *docErr
		located.File = file
		return &located
	}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		located := &Error{File: file, Message: syntax.GetMessage()}
		var mismatch *yaml.TypeError
		if errors.As(err, &mismatch) {
			located.Message = fmt.Sprintf("a %s is expected here", kindName(mismatch.DstType))
		}
		if tk := syntax.GetToken(); tk != nil && tk.Position != nil {
			located.Line, located.Column = tk.Position.Line, tk.Position.Column
		}
		return located
	}
	return &Error{File: file, Message: err.Error()}
}

// kindName returns the kind of value that a field holds, for error messages.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "list"
	case reflect.Struct:
		return "group of fields"
	default:
		return "text"
	}
}

// nodeError returns an *Error located at a node.
func nodeError(node ast.Node, message string) *Error {
	e := &Error{Message: message}
	if node == nil {
		return e
	}
	if m, ok := node.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		node = m.Values[0].Key
	}
	if tk := node.GetToken(); tk != nil && tk.Position != nil {
		e.Line, e.Column = tk.Position.Line, tk.Position.Column
	}
	return e
}
