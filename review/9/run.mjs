// All hosts are restarted in turn by SIGTERM while the endpoints of a service reject part of the requests. Judges the retry budget.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describeConfiguration, pause, runCase, sendRecorded, startDeployment } from '../harness-2/deployment.mjs'
import { startEndpoint } from '../harness-2/endpoint.mjs'

const folder = dirname(fileURLToPath(import.meta.url))
const requestsPerSecond = 150
const steadyMilliseconds = 10_000
const shedMilliseconds = 8_500
const shedShare = 0.55
const firstStopMilliseconds = 1_000
const stopIntervalMilliseconds = 1_000
const downMilliseconds = 500
const retryBudgetRatio = 0.2
const retryWindowMilliseconds = 10_000
const retrySlack = 75

/** Returns the largest excess of arrivals over the budget in any window, with its figures. */
function judge (events, endMilliseconds) {
  const seen = new Set()
  const repeats = events.filter(({ kind }) => kind === 'arrives').filter(({ request }) => {
    const isRepeat = seen.has(request)
    seen.add(request)
    return isRepeat
  }).map(({ at }) => at)
  const sent = events.filter(({ kind }) => kind === 'sent').map(({ at }) => at)
  const count = (times, from) => times.filter(at => at >= from && at < from + retryWindowMilliseconds).length
  const windows = Array.from({ length: Math.floor(endMilliseconds / 100) }, (_, index) => index * 100 - retryWindowMilliseconds / 2).map(from => {
    const requests = Math.max(count(sent, from), count(sent, from - retryWindowMilliseconds / 2), count(sent, from - retryWindowMilliseconds))
    const repeated = count(repeats, from)
    return { from, requests, repeated, allowed: retryBudgetRatio * requests + retrySlack }
  })
  return windows.reduce((worst, window) => window.repeated - window.allowed > worst.repeated - worst.allowed ? window : worst)
}

await runCase(async trouble => {
  const deployment = await startDeployment({ folder, zones: { north: 2, south: 2, west: 2 } })
  let sheds = false
  const endpoints = await Promise.all(Array.from({ length: 9 }, (_, index) => startEndpoint({
    id: `i-desk-${index + 1}`, service: 'desk', zone: ['north', 'south', 'west'][index % 3], store: deployment.store, record: deployment.record, decide: () => ({ shed: sheds && Math.random() < shedShare })
  })))
  deployment.store.put('op', 'config', describeConfiguration())
  deployment.hosts.forEach(deployment.start)
  if (!(await Promise.all(deployment.hosts.map(host => deployment.awaitReady(host)))).every(ready => ready)) return 2
  await pause(2_000)

  const startedAt = deployment.now()
  const until = startedAt + steadyMilliseconds + shedMilliseconds + 2_000
  let sent = 0
  const traffic = (async () => {
    while (deployment.now() < until) {
      const due = Math.floor((deployment.now() - startedAt) / 1_000 * requestsPerSecond)
      while (sent < due) {
        sent += 1
        const host = deployment.hosts[sent % deployment.hosts.length]
        const isBooking = sent % 10 < 3
        sendRecorded(deployment, host, { id: `r-${sent}`, method: isBooking ? 'POST' : 'GET', path: isBooking ? '/bookings/1' : '/lookups/1', body: isBooking ? 'load' : undefined, deadlineMilliseconds: 2_500 })
      }
      await pause(5)
    }
  })()
  await pause(steadyMilliseconds)
  sheds = true
  deployment.record('shedding-begins')
  const shedEnd = deployment.now() + shedMilliseconds
  if (trouble) {
    await Promise.all(deployment.hosts.map(async (host, index) => {
      await pause(firstStopMilliseconds + stopIntervalMilliseconds * index)
      deployment.signal(host, 'SIGTERM')
      await deployment.awaitExit(host)
      await pause(downMilliseconds)
      deployment.start(host)
    }))
  }
  await pause(shedEnd - deployment.now())
  sheds = false
  deployment.record('shedding-ends')
  await traffic
  await pause(3_000)
  const worst = judge(deployment.events, deployment.now())
  const isBroken = worst.repeated > worst.allowed
  deployment.record('judged', { rule: 'BUDGET', ...worst, isBroken })
  console.log(JSON.stringify({ ...worst, isBroken }))
  endpoints.forEach(endpoint => endpoint.stop())
  await deployment.close()
  return isBroken ? 1 : 0
})
