// Compares the rows of the table of rules with the sources of the tests that they name.
import { ProofState, type RuleRow } from './parseRuleTable.js'

export interface FindProblemsOptions {
  rows: RuleRow[]
  /** Returns the source of a test file, such as `platform-host/serverLimits`; undefined if there is none. */
  readTestFile: (file: string) => string | undefined
}

/** Returns a line for each row that is wrong. */
export function findProblems ({ rows, readTestFile }: FindProblemsOptions): string[] {
  const repeated = rows.filter(({ id }, index) => rows.findIndex(row => row.id === id) !== index).map(({ id }) => `${id}: the ID stands twice`)
  return [...repeated, ...rows.flatMap(row => [...findStateProblems(row), ...findTestProblems(row, readTestFile)])]
}

function findStateProblems ({ id, tests, state, reason }: RuleRow): string[] {
  if (state === undefined) return [`${id}: the state is none of ${Object.values(ProofState).join(', ')}`]
  if (state !== ProofState.Not && tests.length === 0) return [`${id}: says ${state} without a test`]
  if (state !== ProofState.Proved && reason === '') return [`${id}: says ${state} without a reason`]
  return []
}

function findTestProblems ({ id, tests }: RuleRow, readTestFile: (file: string) => string | undefined): string[] {
  return tests.flatMap(({ file, name }) => {
    const source = readTestFile(file)
    if (source === undefined) return [`${id}: no test file ${file}`]
    return name !== '' && source.split('\n').some(line => line.includes('test(') && line.includes(name)) ? [] : [`${id}: no test "${name}" in ${file}`]
  })
}
