package codec_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// Guards against a message that no host can read because of one text in it that is not UTF-8.
func TestTextThatIsNotUTF8MakesNoMessageUnreadable(t *testing.T) {
	g := NewWithT(t)
	const text = "\xff\xe2\x80"
	upstreams := []presence.Upstream{{ID: "a"}, {ID: text, Service: text}, {ID: "b"}}
	origins := streamorigin.Datagram{Records: []streamorigin.Record{{CallID: text}, {CallID: "b"}}}
	queries := streamorigin.Query{CallID: "a", More: []streamorigin.Query{{CallID: text}}}
	notices := []notice.Report{{Upstream: text}, {Upstream: "b"}}
	loads := map[string]int{text: 1, "b": 2}
	g.Expect(roundTrip(g, upstreams)).To(Equal(upstreams))
	g.Expect(roundTrip(g, origins)).To(Equal(origins))
	g.Expect(roundTrip(g, queries)).To(Equal(queries))
	g.Expect(roundTrip(g, notices)).To(Equal(notices))
	g.Expect(roundTrip(g, loads)).To(Equal(loads))
}

func roundTrip[T any](g Gomega, message T) (decoded T) {
	data, err := codec.Marshal(message)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(codec.Unmarshal(data, &decoded)).To(Succeed())
	return decoded
}
