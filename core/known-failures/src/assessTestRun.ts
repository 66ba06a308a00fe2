// Decides whether a test run passes, given the tests that are known to fail.
import type { KnownFailure } from './parseKnownFailures.js'

/** The result of one test, or of a file that could not be run. */
export interface TestResult {
  /** Path of the test file, relative to the root of the repository. */
  file: string
  name: string
  passed: boolean
}

export interface TestRunAssessment {
  passes: boolean
  /** Failed tests that are not listed. */
  unexpected: TestResult[]
  /** Entries whose test failed as expected. */
  known: KnownFailure[]
  /** Entries whose test passed. */
  fixed: KnownFailure[]
  /** Entries that match no test of the run. */
  unmatched: KnownFailure[]
}

/** Assesses a run. A run without any result does not pass. */
export function assessTestRun (results: TestResult[], list: KnownFailure[]): TestRunAssessment {
  const isMatch = (entry: KnownFailure, result: TestResult): boolean => entry.file === result.file && entry.test === result.name
  const matchesOf = (entry: KnownFailure): TestResult[] => results.filter(result => isMatch(entry, result))
  const unexpected = results.filter(result => !result.passed && !list.some(entry => isMatch(entry, result)))
  const unmatched = list.filter(entry => matchesOf(entry).length === 0)
  const fixed = list.filter(entry => matchesOf(entry).some(({ passed }) => passed))
  return {
    passes: results.length > 0 && unexpected.length === 0 && unmatched.length === 0 && fixed.length === 0,
    unexpected,
    known: list.filter(entry => !unmatched.includes(entry) && !fixed.includes(entry)),
    fixed,
    unmatched
  }
}
