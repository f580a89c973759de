package setup

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"
	"github.com/zeebo/errs/v2"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	lo.Must0(v.RegisterValidation("hostport_ip", func(fl validator.FieldLevel) bool {
		return isAddress(fl.Field().String())
	}))
	lo.Must0(v.RegisterValidation("port_number", func(fl validator.FieldLevel) bool {
		return isPort(fl.Field().String())
	}))
	return v
}

// isAddress reports whether s is an IP address with a port. Host names are rejected because
// processes reach each other by IP address.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 1<<16
}

// isPort reports whether s is the number of a port, or 0 for none.
func isPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && s == strconv.FormatUint(n, 10)
}

// Load reads the file into settings, a pointer to a struct, and fails with a *ValidationError that
// lists all findings.
func Load(file string, settings any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err)
	}
	return Parse(file, b, settings)
}

// Parse is like Load for text that is already in memory. The name is reported as the file name in
// the error.
func Parse(name string, text []byte, settings any) error {
	report := &ValidationError{File: name}
	plain, err := hujson.Standardize(text)
	if err != nil {
		report.Findings = append(report.Findings, &ValueError{
			Path: "(file)",
			Got:  err.Error(),
			Want: "JSON, with comments and trailing commas allowed",
		})
		return report
	}
	var tree any
	if err := json.Unmarshal(plain, &tree); err != nil {
		return errs.Wrap(err)
	}
	report.Findings = append(report.Findings, walk("", tree, reflect.TypeOf(settings).Elem())...)
	if err := json.Unmarshal(plain, settings); err != nil && len(report.Findings) == 0 {
		return errs.Wrap(err)
	}
	// Values that could be decoded are validated too, so that one error lists all findings. A path
	// with a decoding error is not reported twice.
	reported := lo.SliceToMap(report.Findings, func(f *ValueError) (string, bool) { return f.Path, true })
	report.Findings = append(report.Findings, lo.Reject(Check(settings), func(f *ValueError, _ int) bool { return reported[f.Path] })...)
	if len(report.Findings) == 0 {
		return nil
	}
	sort.SliceStable(report.Findings, func(i, j int) bool { return report.Findings[i].Path < report.Findings[j].Path })
	return report
}

// Check validates a struct by its tags and returns the findings.
func Check(settings any) []*ValueError {
	var fields validator.ValidationErrors
	if !errors.As(validate.Struct(settings), &fields) {
		return nil
	}
	return lo.Map(fields, func(f validator.FieldError, _ int) *ValueError {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		return &ValueError{
			Path: path,
			Got:  fmt.Sprintf("%q", fmt.Sprint(f.Value())),
			Want: describeConstraint(f),
		}
	})
}

func describeConstraint(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "a value"
	case "hostport_ip":
		return "an IP number and a port such as 127.0.0.1:8000"
	case "port_number":
		return "a port between 1 and 65535 in quotes, or 0 or nothing"
	case "oneof":
		return "one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "eq":
		return f.Param()
	case "min":
		return "at least " + f.Param() + unitSuffix(f)
	case "max":
		return "at most " + f.Param() + unitSuffix(f)
	}
	return f.Tag() + " " + f.Param()
}

func unitSuffix(f validator.FieldError) string {
	if f.Kind() == reflect.String {
		return " characters"
	}
	return ""
}

// roles lists the roles that a settings file can have.
var roles = []string{"agent", "entry", "gateway", "sidecar"}

// Role returns the role in a settings file without validating the rest. It fails with a
// *ValidationError if the file is not JSON or the role is unknown.
func Role(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err)
	}
	var head struct {
		Role string `json:"role"`
	}
	plain, err := hujson.Standardize(b)
	if err == nil {
		err = json.Unmarshal(plain, &head)
	}
	if err != nil {
		return "", &ValidationError{
			File: file,
			Findings: []*ValueError{{
				Path: "(file)",
				Got:  err.Error(),
				Want: "JSON, with comments and trailing commas allowed",
			}},
		}
	}
	if !lo.Contains(roles, head.Role) {
		return "", &ValidationError{
			File: file,
			Findings: []*ValueError{{
				Path: "role",
				Got:  strconv.Quote(head.Role),
				Want: "one of " + strings.Join(roles, ", "),
			}},
		}
	}
	return head.Role, nil
}
