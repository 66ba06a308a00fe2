// Command line of the platform comparison. Prints one line per scenario, policy and seed. Runs in virtual time,
// so the load of the machine does not affect the results.
import { parseArgs } from 'node:util'
import { runPlatform, type PlatformRow } from './runPlatform.js'
import { PlatformPolicy, platformScenarios } from './platformScenario.js'

const { values } = parseArgs({
  options: {
    scenarios: { type: 'string', default: Object.keys(platformScenarios).join(',') },
    policies: { type: 'string', default: Object.values(PlatformPolicy).join(',') },
    seeds: { type: 'string', default: '1,2,3' },
    seconds: { type: 'string', default: '60' },
    /** JSON object merged into each scenario, for experiments. */
    change: { type: 'string', default: '{}' }
  }
})

const formatRow = (row: PlatformRow, seed: number): string => [
  row.scenario, row.policy, seed, row.requests, row.credit.toFixed(3), row.served.toFixed(3), row.refused.toFixed(3), row.p50Milliseconds.toFixed(0),
  row.p99Milliseconds.toFixed(0), row.probesPerRequest.toFixed(2)
].join('\t')

console.log(['scenario', 'policy', 'seed', 'requests', 'credit', 'served', 'refused', 'p50', 'p99', 'questions/request'].join('\t'))
values.scenarios.split(',').forEach(name => {
  const scenario = platformScenarios[name]
  if (scenario === undefined) throw new Error(`unknown scenario "${name}", expected one of ${Object.keys(platformScenarios).join(', ')}`)
  const changed = { ...scenario, ...JSON.parse(values.change) }
  values.policies.split(',').forEach(policy => values.seeds.split(',').map(Number).forEach(seed => {
    console.log(formatRow(runPlatform({ scenario: changed, policy: policy as PlatformPolicy, seed, seconds: Number(values.seconds) }), seed))
  }))
})
