package entryhost

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntryHost(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, report := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "entry host", suite, report)
}
