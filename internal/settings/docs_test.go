package settings_test

import (
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/settings"
)

var pageRowRegexp = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| ([^|]*) \\|")

// fieldDefaults adds the default of each field of v to fields, as JSON; "" means a zero
// value.
func fieldDefaults(v reflect.Value, path string, fields map[string]string) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		name = strings.TrimPrefix(path+"."+name, ".")
		field := v.Field(i)
		_, isDuration := field.Interface().(settings.Duration)
		switch {
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			fieldDefaults(reflect.Zero(field.Type().Elem()), name+"[]", fields)
		case field.Kind() == reflect.Struct && !isDuration:
			fieldDefaults(field, name, fields)
		case field.Kind() == reflect.Slice && field.Len() == 0:
			fields[name+"[]"] = ""
		case field.IsZero():
			fields[name] = ""
		default:
			data, _ := json.Marshal(field.Interface())
			fields[name] = string(data)
		}
	}
}

func TestSettingsPageListsAllDefaults(t *testing.T) {
	expectPageListsFields(t, "../../docs/SETTINGS.md", *settings.Default())
}

func TestGatewaySettingsPageListsAllDefaults(t *testing.T) {
	expectPageListsFields(t, "../../docs/GATEWAY-SETTINGS.md", *settings.DefaultNode())
}

// expectPageListsFields checks that a page has a row with the default value for each
// field of defaults, and no other rows.
func expectPageListsFields(t *testing.T, path string, defaults any) {
	t.Helper()
	g := NewWithT(t)
	page, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	fields := map[string]string{}
	fieldDefaults(reflect.ValueOf(defaults), "", fields)
	rows := map[string]string{}
	for _, row := range pageRowRegexp.FindAllStringSubmatch(string(page), -1) {
		rows[row[1]] = row[2]
	}
	for name, value := range fields {
		g.Expect(rows).To(HaveKey(name))
		if value != "" {
			g.Expect(rows[name]).To(Equal("`"+value+"`"), name)
		}
	}
	for name := range rows {
		g.Expect(fields).To(HaveKey(name))
	}
}

func TestPageExamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse(pageExample(g, "../../docs/SETTINGS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = settings.ParseNode(pageExample(g, "../../docs/GATEWAY-SETTINGS.md"))
	g.Expect(err).NotTo(HaveOccurred())
}

func pageExample(g *WithT, path string) []byte {
	page, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	_, text, found := strings.Cut(string(page), "```json\n")
	g.Expect(found).To(BeTrue())
	text, _, _ = strings.Cut(text, "```")
	return []byte(text)
}
