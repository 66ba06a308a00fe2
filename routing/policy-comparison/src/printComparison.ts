// Command line of the policy comparison. Prints one line per scenario and variant, with the p99 ratios to which
// the design targets refer. Runs in virtual time, so the load of the machine does not affect the results.
import { parseArgs } from 'node:util'
import { comparePolicies, type ComparisonRow } from './comparePolicies.js'
import { scenarios, variants, type Scenario, type Variant } from './scenario.js'

const { values } = parseArgs({
  options: {
    scenarios: { type: 'string', default: 'trust,trust-stragglers,cascadia,cascadia-as-trust' },
    variants: { type: 'string', default: 'random,round-robin,two-choices-own,two-choices-reported,omniscient,ours' },
    seeds: { type: 'string', default: '1,2,3' },
    seconds: { type: 'string', default: '20' },
    /** JSON object merged into each scenario, for experiments. */
    change: { type: 'string', default: '{}' },
    /** JSON object merged into the tuning of each variant, for experiments. */
    tuning: { type: 'string', default: '{}' }
  }
})

const select = <Item>(table: Record<string, Item>, list: string): Item[] => list.split(',').map(name => {
  const item = table[name]
  if (item === undefined) throw new Error(`unknown name "${name}", expected one of ${Object.keys(table).join(', ')}`)
  return item
})
const round = (value: number, digits = 1): string => value.toFixed(digits)
const headings = ['scenario', 'variant', 'mean', 'p50', 'p90', 'p99', 'p99.9', 'p99/random', 'p99/omniscient', 'p99 by seed', 'probes/req', 'shares/req', 'sheds/req', 'hedges/req', 'failed', 'ejections']

function formatRow (row: ComparisonRow, rows: ComparisonRow[]): string[] {
  const ratioTo = (name: string): string => {
    const base = rows.find(({ variant }) => variant === name)
    return base === undefined ? '-' : round(row.p99 / base.p99, 3)
  }
  const perRequest = (count: number): string => round(count / row.requests, 3)
  return [
    row.scenario, row.variant, round(row.mean), round(row.p50), round(row.p90), round(row.p99), round(row.p999),
    ratioTo('random'), ratioTo('omniscient'), row.p99OfSeeds.map(p99 => round(p99)).join(' '),
    perRequest(row.probes), perRequest(row.shares), perRequest(row.sheds), perRequest(row.hedges), String(row.failed), String(row.ejections)
  ]
}

const seeds = values.seeds.split(',').map(Number)
const seconds = Number(values.seconds)
const merge = <Item extends object>(item: Item, change: string): Item => ({ ...item, ...JSON.parse(change) })

console.log(`seeds ${seeds.join(',')}, ${seconds} s each after warm-up, milliseconds, change ${values.change}, tuning ${values.tuning}`)
console.log(headings.join('\t'))
select<Scenario>(scenarios, values.scenarios).forEach(scenario => {
  const rows = comparePolicies({
    scenario: merge(scenario, values.change),
    variants: select<Variant>(variants, values.variants).map(variant => ({ ...variant, tuning: merge(variant.tuning, values.tuning) })),
    seeds,
    seconds
  })
  rows.forEach(row => console.log(formatRow(row, rows).join('\t')))
})
