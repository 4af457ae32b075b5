// Package settings reads and validates the settings file of an instance.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	yaml "github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/gravitational/trace"
)

// Settings holds the validated settings of an entry instance.
type Settings struct {
	Instance   Instance   `yaml:"instance"`
	Listen     Listen     `yaml:"listen"`
	Platform   Platform   `yaml:"platform"`
	Peers      Peers      `yaml:"peers"`
	Requests   Requests   `yaml:"requests"`
	Membership Membership `yaml:"membership"`
	Log        Log        `yaml:"log"`
}

// ErrInvalid describes one error in a settings file.
type ErrInvalid struct {
	File string
	// Line is the line of the setting, or of its section if the file lacks the setting, or 1 if it lacks both.
	Line int
	// Setting is the dotted path of the setting, such as listen.caller.
	Setting string
	// Fix says what to write instead.
	Fix string
}

// Error implements error.
func (e *ErrInvalid) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Setting, e.Fix)
}

// ErrInvalids lists all errors in a settings file.
type ErrInvalids struct {
	Errors []*ErrInvalid
}

// Error implements error; the text has one line for each error in the file.
func (e *ErrInvalids) Error() string {
	lines := make([]string, 0, len(e.Errors))
	for _, invalid := range e.Errors {
		lines = append(lines, invalid.Error())
	}
	return strings.Join(lines, "\n")
}

// IsInvalid reports whether an error is or wraps an ErrInvalids.
func IsInvalid(err error) bool {
	var invalid *ErrInvalids
	return errors.As(err, &invalid)
}

// Load reads and validates the settings file of an entry instance.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse parses and validates the content of a settings file of an entry instance. The name appears in its errors.
func Parse(name string, content []byte) (Settings, error) {
	s := Defaults()
	if err := parse(name, content, &s, func(c *checker) { s.check(c) }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parse decodes a settings file into a value that already holds the defaults, and validates the result.
func parse(name string, content []byte, destination any, check func(c *checker)) error {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return syntaxError(name, err)
	}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(destination); err != nil {
		return syntaxError(name, err)
	}
	c := &checker{name: name, file: file}
	check(c)
	if len(c.errors) > 0 {
		return &ErrInvalids{Errors: c.errors}
	}
	return nil
}

// Defaults returns the default settings of an entry instance; those without a default are empty.
func Defaults() Settings {
	return Settings{
		Platform:   defaultPlatform(),
		Peers:      defaultPeers(),
		Requests:   defaultRequests(),
		Membership: defaultMembership(),
		Log:        Log{Level: "info"},
	}
}

func (s Settings) check(c *checker) {
	s.Instance.check(c)
	s.Listen.check(c)
	s.Platform.check(c)
	s.Peers.check(c)
	s.Requests.check(c)
	s.Membership.check(c)
	s.Log.check(c)
}

// syntaxError converts an error of the YAML parser or decoder, with its line if the error has one.
func syntaxError(name string, err error) error {
	invalid := &ErrInvalid{File: name, Line: 1, Setting: "yaml", Fix: firstLine(err.Error())}
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		invalid.Line = located.GetToken().Position.Line
		invalid.Fix = located.GetMessage()
	}
	return &ErrInvalids{Errors: []*ErrInvalid{invalid}}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// checker collects the errors in a settings file.
type checker struct {
	name   string
	file   *ast.File
	errors []*ErrInvalid
}

// require adds an error for the setting unless ok is true.
func (c *checker) require(ok bool, setting, fix string) {
	if ok {
		return
	}
	c.errors = append(c.errors, &ErrInvalid{File: c.name, Line: c.line(setting), Setting: setting, Fix: fix})
}

// line returns the line of a setting, or of its innermost enclosing section in the file, or 1.
func (c *checker) line(setting string) int {
	for setting != "" {
		if path, err := yaml.PathString("$." + setting); err == nil {
			if node, err := path.FilterFile(c.file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexByte(setting, '.')
		setting = setting[:max(cut, 0)]
	}
	return 1
}
