// Package cases plays the scripts of the review's cases: ../../REPORT.md lists them. Its test has the build tag review:
//
//	sh review/build.sh && go test -count=1 -tags review ./review/testdata/cases
package cases
