// Parses the tables of rules. Other tables of the page, and its text, are skipped.

export enum ProofState {
  Proved = 'proved',
  Partly = 'partly',
  Not = 'not'
}

/** A test that a row names. */
export interface NamedTest {
  /** Package and test file, such as `platform-host/serverLimits`. */
  file: string
  /** Part of the name of the test, as it stands in the source. */
  name: string
}

export interface RuleRow {
  id: string
  tests: NamedTest[]
  /** Undefined if the cell names no state. */
  state: ProofState | undefined
  /** What is missing; empty if nothing is said. */
  reason: string
}

const columnCount = 6
const idPattern = /^[A-Z]+-\d+$/

/** Returns the rows of all tables whose first cell is an ID, such as `BUDGET-1`. */
export function parseRuleTable (text: string): RuleRow[] {
  return text.split('\n')
    .filter(line => line.startsWith('|'))
    .map(line => line.slice(1, line.lastIndexOf('|')).split(' | ').map(cell => cell.trim()))
    .filter(cells => cells.length === columnCount && idPattern.test(cells[0] ?? ''))
    .map(([id = '', , , tests = '', , state = '']) => {
      const [name = '', ...reason] = state.split(':')
      return { id, tests: parseTests(tests), state: Object.values(ProofState).find(value => value === name.trim()), reason: reason.join(':').trim() }
    })
}

function parseTests (cell: string): NamedTest[] {
  return cell.split(';').map(part => part.trim()).filter(part => part !== '' && part !== '-').map(part => {
    const separator = part.indexOf(': ')
    return { file: part.slice(0, separator), name: part.slice(separator + 2) }
  })
}
