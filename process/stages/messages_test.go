package stages

import (
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against hosts of two builds that refuse each other's stage work: a message with another
// number of fields than a build knows cannot be decoded by it.
func TestMessagesKeepTheirFields(t *testing.T) {
	for message, fields := range map[any]int{reflect.TypeFor[runRequest](): 12, reflect.TypeFor[accountRunRequest](): 5, reflect.TypeFor[cancelRequest](): 2, reflect.TypeFor[Target](): 4, reflect.TypeFor[Prompt](): 6} {
		NewWithT(t).Expect(message.(reflect.Type).NumField()).To(Equal(fields), "%v", message)
	}
}
