package daemon

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// settingsReadByCommand holds the settings that the command reads itself, before it creates the
// daemon.
var settingsReadByCommand = map[string]bool{"log_level": true}

// TestEverySettingIsRead guards against a setting that is documented and validated but has no
// effect.
func TestEverySettingIsRead(t *testing.T) {
	base := settings.Default()
	base.StoreEndpoints = []string{"127.0.0.1:1"}
	before := FromSettings(base)
	settingsType := reflect.TypeFor[settings.Settings]()
	for i := range settingsType.NumField() {
		name := jsonc.FieldName(settingsType.Field(i))
		changed := base
		changeSetting(t, reflect.ValueOf(&changed).Elem().Field(i))
		if reflect.DeepEqual(before, FromSettings(changed)) && !settingsReadByCommand[name] {
			t.Errorf("setting %s does not change the configuration", name)
		}
	}
}

func changeSetting(t *testing.T, v reflect.Value) {
	t.Helper()
	switch p := v.Addr().Interface().(type) {
	case *string:
		*p += "x"
	case *bool:
		*p = !*p
	case *float64:
		*p += 0.01
	case *int:
		*p++
	case *int64:
		*p++
	case *time.Duration:
		*p += time.Minute
	case *[]string:
		*p = []string{"127.0.0.1:2"}
	case *[]settings.OperatorKey:
		*p = []settings.OperatorKey{{Name: "a"}}
	default:
		t.Fatalf("changeSetting does not support type %T", p)
	}
}

// TestPayloadBound guards against a durable payload that fills its request shard, and against
// applying the bound to answers, which are not stored.
func TestPayloadBound(t *testing.T) {
	b := &callerBackend{&engine{cfg: Config{MaxDurablePayloadBytes: 10}}}
	for _, tc := range []struct {
		kind    task.Kind
		bytes   int
		refused bool
	}{
		{task.Durable, 10, false}, {task.Durable, 11, true}, {task.AtMostOnce, 11, true}, {task.Answer, 11, false},
	} {
		err := b.checkPayload(&task.Spec{Kind: tc.kind, Payload: make([]byte, tc.bytes)})
		var refusal *errkind.Error
		if isRefused := errors.As(err, &refusal) && refusal.Kind == errkind.RequestTooLarge; isRefused != tc.refused {
			t.Errorf("%s with %d bytes: %v", tc.kind, tc.bytes, err)
		}
	}
}
