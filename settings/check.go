package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
)

var durationType = reflect.TypeFor[time.Duration]()

// checker checks decoded settings.
type checker struct{ *jsonc.Checker }

// fields checks the value of each field. Constraints between fields are checked by
// rules.
func (c checker) fields(s Settings) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := jsonc.FieldName(field)
		if _, hasDefault := field.Tag.Lookup("default"); !hasDefault && !c.Has(path) {
			c.AddFault(path, "the field is missing", field.Tag.Get("doc"))
			continue
		}
		c.bounds(path, field, v.Field(i))
	}
	c.names(s)
	c.addresses(s)
	c.Require(slices.Contains(logLevels, s.LogLevel), "log_level", fmt.Sprintf("unknown log level %q", s.LogLevel), strings.Join(logLevels, ", "))
	c.operatorKeys(s)
}

func (c checker) operatorKeys(s Settings) {
	for i, key := range s.OperatorKeys {
		path := fmt.Sprintf("operator_keys[%d]", i)
		c.Require(document.IsValidName(key.Name), path+".name", fmt.Sprintf("%q is not a valid name", key.Name), document.NameRule)
		c.Require(isDigest(key.Digest), path+".digest", "the value is not a SHA-256 digest", "64 hexadecimal digits, a-f in lower case")
		duplicate := slices.ContainsFunc(s.OperatorKeys[:i], func(k OperatorKey) bool { return k.Digest == key.Digest })
		c.Require(!duplicate, path+".digest", "duplicate digest", "a different secret for each operator")
	}
}

var logLevels = []string{"debug", "info", "warn", "error"}

func isDigest(s string) bool {
	decoded, err := hex.DecodeString(s)
	return err == nil && len(decoded) == 32 && s == strings.ToLower(s)
}

// bounds checks a number or duration against the tags min and max.
func (c checker) bounds(path string, field reflect.StructField, v reflect.Value) {
	minText, bounded := field.Tag.Lookup("min")
	if !bounded {
		return
	}
	lower, upper := reflect.New(v.Type()).Elem(), reflect.New(v.Type()).Elem()
	setText(lower, minText)
	setText(upper, field.Tag.Get("max"))
	outside := false
	if v.CanInt() {
		outside = v.Int() < lower.Int() || v.Int() > upper.Int()
	} else {
		outside = v.Float() < lower.Float() || v.Float() > upper.Float()
	}
	if outside {
		c.AddFault(path, fmt.Sprintf("the value is %v", v.Interface()), minText+" to "+field.Tag.Get("max"))
	}
}

func (c checker) names(s Settings) {
	for _, name := range []struct{ path, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"failure_domain", s.FailureDomain},
	} {
		if c.Has(name.path) {
			c.Require(document.IsValidName(name.value), name.path, fmt.Sprintf("%q is not a valid name", name.value), document.NameRule)
		}
	}
	if !c.Has("regions") {
		return
	}
	c.Require(len(s.Regions) > 0, "regions", "the list is empty", "at least one region")
	for i, region := range s.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.Require(document.IsValidName(region), path, fmt.Sprintf("%q is not a valid name", region), document.NameRule)
		c.Require(!slices.Contains(s.Regions[:i], region), path, fmt.Sprintf("duplicate region %q", region), "each region once")
	}
	if c.Has("region") {
		c.Require(slices.Contains(s.Regions, s.Region), "region", fmt.Sprintf("%q is not in regions", s.Region), strings.Join(s.Regions, ", "))
	}
}

const addressRule = `a numeric address with a port, such as "10.1.0.7:7070"`

func (c checker) addresses(s Settings) {
	pathByAddress := make(map[string]string)
	for _, a := range []struct{ path, value string }{
		{"caller_address", s.CallerAddress}, {"operator_address", s.OperatorAddress}, {"entry_address", s.EntryAddress},
	} {
		if !c.Has(a.path) {
			continue
		}
		c.address(a.path, a.value)
		c.Require(pathByAddress[a.value] == "", a.path, fmt.Sprintf("the address is already used by %s", pathByAddress[a.value]), "a different address")
		pathByAddress[a.value] = a.path
	}
	if entry, err := netip.ParseAddrPort(s.EntryAddress); err == nil {
		c.Require(!entry.Addr().IsUnspecified(), "entry_address", "other instances cannot connect to an unspecified address", "an address of this instance")
	}
	if c.Has("instance_list_endpoint") {
		c.address("instance_list_endpoint", s.InstanceListEndpoint)
	}
	if c.Has("store_endpoints") {
		c.Require(len(s.StoreEndpoints) > 0, "store_endpoints", "the list is empty", "at least one endpoint")
	}
	for i, endpoint := range s.StoreEndpoints {
		c.address(fmt.Sprintf("store_endpoints[%d]", i), endpoint)
	}
	if operator, err := netip.ParseAddrPort(s.OperatorAddress); err == nil && len(s.OperatorKeys) == 0 {
		c.Require(operator.Addr().IsLoopback(), "operator_address",
			"without operator_keys, the operator interface must not be reachable from other machines",
			"a loopback address, or at least one key in operator_keys")
	}
}

// address requires a numeric address. A host name would need a resolver, which may
// fail or return different addresses on two instances.
func (c checker) address(path, value string) {
	parsed, err := netip.ParseAddrPort(value)
	c.Require(err == nil && parsed.Port() != 0, path, fmt.Sprintf("%q is not a valid address", value), addressRule)
}
