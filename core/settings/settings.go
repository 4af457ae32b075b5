// Package settings reads and checks the settings of an entry instance.
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

// Settings are the checked settings of one instance.
type Settings struct {
	Instance   Instance   `yaml:"instance"`
	Listen     Listen     `yaml:"listen"`
	Platform   Platform   `yaml:"platform"`
	Peers      Peers      `yaml:"peers"`
	Requests   Requests   `yaml:"requests"`
	Membership Membership `yaml:"membership"`
	Log        Log        `yaml:"log"`
}

// ErrInvalid describes one fault of a settings file.
type ErrInvalid struct {
	File string
	// Line is where the fault stands; zero if the file lacks the setting and its section.
	Line int
	// Setting is the dotted path, such as listen.caller.
	Setting string
	// Fix says what to write instead.
	Fix string
}

// Error implements error.
func (e *ErrInvalid) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Setting, e.Fix)
}

// ErrInvalids lists all faults of a settings file.
type ErrInvalids struct {
	Faults []*ErrInvalid
}

// Error implements error; it has one line for each fault.
func (e *ErrInvalids) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// IsInvalid reports whether an error lists faults of a settings file.
func IsInvalid(err error) bool {
	var invalid *ErrInvalids
	return errors.As(err, &invalid)
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file; the name appears in its errors.
func Parse(name string, content []byte) (Settings, error) {
	s := Defaults()
	if err := parse(name, content, &s, func(c *checker) { s.check(c) }); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parse decodes a settings file into a value that holds the defaults, and checks it.
func parse(name string, content []byte, into any, check func(c *checker)) error {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return syntaxFault(name, err)
	}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(into); err != nil {
		return syntaxFault(name, err)
	}
	c := &checker{name: name, file: file}
	check(c)
	if len(c.faults) > 0 {
		return &ErrInvalids{Faults: c.faults}
	}
	return nil
}

// Defaults returns the settings that hold where a file is silent.
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

func syntaxFault(name string, err error) error {
	fault := &ErrInvalid{File: name, Line: 1, Setting: "yaml", Fix: firstLine(err.Error())}
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		fault.Line = located.GetToken().Position.Line
		fault.Fix = located.GetMessage()
	}
	return &ErrInvalids{Faults: []*ErrInvalid{fault}}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// checker collects the faults of a file.
type checker struct {
	name   string
	file   *ast.File
	faults []*ErrInvalid
}

func (c *checker) require(ok bool, setting, fix string) {
	if ok {
		return
	}
	c.faults = append(c.faults, &ErrInvalid{File: c.name, Line: c.line(setting), Setting: setting, Fix: fix})
}

// line returns where a setting stands, or where its nearest enclosing section stands.
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
