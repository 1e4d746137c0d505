package entryhost

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntryHost(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, report := GinkgoConfiguration()
	suite.RandomSeed = 1 // runs the specs in the same order each time
	RunSpecs(t, "entry host", suite, report)
}
