// Runs the model of the limits that hosts keep together: a table for calm runs by number of hosts and limit, and random runs with faults.
// Usage: npm run model:limits -- --runs 1000 --seed 1
import { parseArgs } from 'node:util'
import { checkRandomFaults, countAllowed } from '../daemon/platform-host/lib/test/support/checkRandomFaults.js'
import { simulatePermits } from '../daemon/platform-host/lib/test/support/simulatePermits.js'

const { values } = parseArgs({ options: { runs: { type: 'string', default: '1000' }, seed: { type: 'string', default: '1' } } })
const seed = Number(values.seed)
console.log(`seed=${seed} runs=${values.runs}`)
console.log('hosts | limit, 1/s | contacts in the worst 4 s | allowed | share of the limits used | calls for permits, 1/s a host')
for (const hosts of [2, 18, 60, 174, 300]) {
  for (const requestsPerSecond of [1, 5, 50]) {
    const { worstWindow, usedShare, callsPerSecond } = await simulatePermits({ hosts, dataCentres: 3, servers: 6, requestsPerSecond, load: 2, seconds: 40, faults: [], seed })
    console.log([hosts, requestsPerSecond, worstWindow, countAllowed(requestsPerSecond), usedShare.toFixed(2), callsPerSecond.toFixed(2)].join(' | '))
  }
}
const runsPerSeed = 100
for (let index = 0; index < Number(values.runs) / runsPerSeed; index += 1) {
  await checkRandomFaults(seed + index, runsPerSeed)
  // Memory is freed between turns of the event loop only.
  await new Promise(resolve => setImmediate(resolve))
}
console.log(`${values.runs} random runs with faults: the limit was kept in each`)
