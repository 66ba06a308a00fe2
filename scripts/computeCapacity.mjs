// Computes the Markdown tables of docs/CAPACITY.md from a record of the micro-benchmarks:
// node scripts/computeCapacity.mjs --micro micro.json --cost-per-call 150
// Every figure states the fit or assumption that it is computed from. The script itself measures nothing.
import { readFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { parseArgs } from 'node:util'

/** The planned system size in two years, from section 1 of docs/design.md. */
export const twoYearSize = { endpoints: 14_000, services: 2_000, callsPerSecond: 660_000, changesPerDay: 26_000 }
/** Maximum control overhead of a node according to docs/design.md. */
export const nodeBudget = { corePercent: 1.8, megabytes: 128, bytesPerSecond: 4_096 }
/** Constants of the implementation; the table of assumptions names the modules that define them. */
const heartbeatsPerSecond = 2
const regularMembers = 2
const headReadsPerSecond = 4
const hostListReadsPerSecond = 1
const probesPerSecondLimit = 200
const rowsPerTransaction = 100
const writesPerClaim = 2
const secondsPerDay = 86_400

/** Flags for quantities that cannot be computed from a measured slope, with their meanings. */
export const assumptions = {
  'cost-per-call': { meaning: 'microseconds of processor time of one call on an entry host, all included' },
  'core-share': { default: '0.6', meaning: 'share of a core that calls may use on an entry host, one core for each host' },
  'keyed-share': { default: '0.05', meaning: 'share of calls that need a claim' },
  'probes-per-request': { default: '0.1', meaning: 'probes for each call, at most 200 a second for each host (measuring.probesPerSecond)' },
  'probe-bytes': { default: '600', meaning: 'bytes of a probe, both directions (bound in routing/probing)' },
  'probe-microseconds': { default: '90', meaning: 'processor time of a probe (bound in routing/probing)' },
  'frame-bytes': { default: '80', meaning: 'bytes that HTTP/2 adds to a message of a reused session' },
  'exchange-microseconds': { default: '300', meaning: 'processor time of one end of an exchange beyond the decision' },
  'row-bytes': { default: '400', meaning: 'bytes of a claim row with its stored answer' },
  'record-seconds': { default: String(secondsPerDay), meaning: 'life of a claim row (recordLifetimeSeconds)' }
}

const formatNumber = value => {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(1)
  return Math.abs(value) >= 100 ? Math.round(value).toLocaleString('en') : String(Number(value.toPrecision(3)))
}

/** Returns a function that evaluates the fit of a measurement at a size. It throws if the record has no such measurement. */
export function createEstimator ({ fits, measurements }) {
  return (name, size) => {
    const fit = fits.find(candidate => candidate.name === name)
    if (fit !== undefined) return Math.max(0, fit.intercept + fit.slope * size)
    const measured = measurements.find(candidate => candidate.name === name)
    if (measured === undefined) throw new Error(`the record has no measurement ${name}`)
    return measured.median
  }
}

/** Computes the number of hosts and one row for each role. `flags` maps the names of the assumptions to numbers. */
export function computeRoles (record, flags) {
  const estimate = createEstimator(record)
  const { endpoints, services, callsPerSecond, changesPerDay } = twoYearSize
  const hosts = Math.ceil(callsPerSecond * flags['cost-per-call'] / 1e6 / flags['core-share'])
  const callsPerHost = callsPerSecond / hosts
  const changesPerSecond = changesPerDay / secondsPerDay
  const keyedCallsPerSecond = callsPerSecond * flags['keyed-share']
  const probes = Math.min(probesPerSecondLimit, callsPerHost * flags['probes-per-request'])
  const claimCost = (estimate('claim-batch', rowsPerTransaction) - estimate('claim-batch', 0)) / rowsPerTransaction
  const decisionCost = estimate('server-decision', endpoints / services) + estimate('admission', 1) + estimate('route-lookup', services) +
    estimate('crash-suspect-check', 0) + flags['keyed-share'] * claimCost
  const bundleBytes = estimate('bundle-size', endpoints)
  const differenceBytes = estimate('one-server-difference', endpoints)
  const bundleCost = ['bundle-parse', 'bundle-verification', 'bundle-in-force'].reduce((sum, name) => sum + estimate(name, endpoints), 0)
  const heartbeatBytes = estimate('heartbeat-size', regularMembers) + flags['frame-bytes']
  const listBytes = estimate('host-list-size', endpoints + hosts)
  const corePercent = microsecondsPerSecond => microsecondsPerSecond / 1e4
  const row = (role, state, messages, bytes, percent, memoryBytes, source) => ({ role, state, messages, bytes, corePercent: percent, megabytes: memoryBytes === null ? null : memoryBytes / 1e6, source })
  const rows = [
    row('entry host, decisions of calls (not control)', 'service states', callsPerHost, null, corePercent(callsPerHost * decisionCost), estimate('service-state-memory', endpoints),
      'server-decision, admission, route-lookup, crash-suspect-check, claim-batch, service-state-memory; calls for each host from cost-per-call and core-share'),
    row('entry host, probes', 'in the service states', probes, probes * flags['probe-bytes'], corePercent(probes * (estimate('probe-decision', endpoints / services) + flags['probe-microseconds'])), null,
      'probe-decision; probes-per-request, probe-bytes, probe-microseconds'),
    row('entry host, heartbeats to and from peers', `${hosts} members`, 4 * heartbeatsPerSecond, 4 * heartbeatsPerSecond * heartbeatBytes,
      corePercent(heartbeatsPerSecond * (estimate('heartbeat-step', hosts) + 2 * flags['exchange-microseconds'])), estimate('member-memory', hosts),
      'heartbeat-size, heartbeat-step, member-memory; frame-bytes, exchange-microseconds; 2 heartbeats a second sent, 2 answered, both directions counted'),
    row('entry host, bundles fetched whole (as built)', 'bundle in force', changesPerSecond, changesPerSecond * bundleBytes, corePercent(changesPerSecond * bundleCost), estimate('bundle-memory', endpoints),
      'bundle-size, bundle-parse, bundle-verification, bundle-in-force, bundle-memory; every change is a bundle of its own'),
    row('entry host, bundles as differences (not built)', 'bundle in force', changesPerSecond, changesPerSecond * differenceBytes, corePercent(changesPerSecond * bundleCost), estimate('bundle-memory', endpoints),
      'one-server-difference; processor time as for whole bundles, since a host still verifies the digest of the whole'),
    row('entry host, host list', 'hosts not heard of', hostListReadsPerSecond, hostListReadsPerSecond * listBytes, null, null,
      'host-list-size; one read a second; processor time not measured'),
    row("operators' command, all changes", 'none kept', 2 * changesPerSecond, changesPerSecond * bundleBytes, corePercent(changesPerSecond * (estimate('bundle-check', endpoints) + estimate('bundle-verification', endpoints))), estimate('bundle-memory', endpoints),
      'bundle-size, bundle-check, bundle-verification, bundle-memory; one body and one head written for each change'),
    row('table service, head', '1 row', headReadsPerSecond + changesPerSecond, null, null, null, '4 reads a second whatever the number of hosts (bundle/rollout), one write for each change'),
    row('table service, claims, a transaction counts once', `${formatNumber(keyedCallsPerSecond * flags['record-seconds'])} rows`, Math.max(writesPerClaim * keyedCallsPerSecond / rowsPerTransaction, 0), writesPerClaim * keyedCallsPerSecond * flags['row-bytes'], null, keyedCallsPerSecond * flags['record-seconds'] * flags['row-bytes'],
      'no slope; keyed-share, record-seconds, row-bytes; 2 writes for each claim, groups of 100 rows are full'),
    row('table service, claims, each row counts', 'as above', writesPerClaim * keyedCallsPerSecond, writesPerClaim * keyedCallsPerSecond * flags['row-bytes'], null, null, 'no slope; keyed-share; 2 writes for each claim'),
    row('object store, all hosts', `${formatNumber(changesPerDay)} bodies a day`, changesPerSecond * (hosts + 1), changesPerSecond * (hosts + 1) * bundleBytes, null, changesPerDay * bundleBytes,
      'bundle-size; upper bound: every host reads every body from the store and none from a peer; memory is one day of bodies'),
    row('host list, all hosts', `${formatNumber(endpoints + hosts)} hosts`, hosts * hostListReadsPerSecond, hosts * hostListReadsPerSecond * listBytes, null, listBytes, 'host-list-size; one read a second by each host')
  ]
  return { hosts, rows }
}

const renderTable = (head, rows) => [head, head.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n')

/** Renders the capacity tables as Markdown. */
export function computeCapacity (record, flags) {
  const { hosts, rows } = computeRoles(record, flags)
  const cell = value => value === null ? '-' : formatNumber(value)
  const control = rows.filter(({ role }) => role.startsWith('entry host') && !role.includes('not control') && !role.includes('not built'))
  const total = key => control.reduce((sum, row) => sum + (row[key] ?? 0), 0)
  const states = rows[0].megabytes + total('megabytes')
  const checks = [
    ['processor, % of a core', cell(total('corePercent')), cell(nodeBudget.corePercent), total('corePercent') <= nodeBudget.corePercent],
    ['memory of states, MB', cell(states), cell(nodeBudget.megabytes), states <= nodeBudget.megabytes],
    ['bytes a second', cell(total('bytes')), cell(nodeBudget.bytesPerSecond), total('bytes') <= nodeBudget.bytesPerSecond]
  ].map(([name, value, limit, within]) => [name, value, limit, within ? 'yes' : 'no'])
  return [
    `Entry hosts for ${formatNumber(twoYearSize.callsPerSecond)} calls a second: **${formatNumber(hosts)}** (assumptions cost-per-call and core-share, no slope).`,
    renderTable(['role', 'state', 'messages a second', 'bytes a second', 'processor, % of a core', 'memory, MB', 'from'],
      rows.map(row => [row.role, row.state, cell(row.messages), cell(row.bytes), cell(row.corePercent), cell(row.megabytes), row.source])),
    'Control overhead of one entry host as built (the rows above without calls and without differences):',
    renderTable(['measure', 'computed', 'allowed', 'within'], checks),
    'Slopes, by least squares over the sizes of the micro bench:',
    renderTable(['fit', 'slope', 'standard error', 'intercept', 'unit'],
      record.fits.map(({ name, slope, slopeError, intercept, unit, sizeUnit }) => [name, formatNumber(slope), slopeError === null ? '-' : formatNumber(slopeError), formatNumber(intercept), `${unit} per ${sizeUnit}`])),
    'Assumptions, which no slope gives:',
    renderTable(['flag', 'value', 'meaning'], Object.entries(assumptions).map(([name, { meaning }]) => [name, formatNumber(flags[name]), meaning])),
    `Measured on ${record.processor}, Node.js ${record.nodeVersion}.`
  ].join('\n\n') + '\n'
}

/** Parses the values of the flags as numbers. Throws an Error that names an invalid flag. */
export function parseFlags (values) {
  return Object.fromEntries(Object.entries(assumptions).map(([name, { default: fallback }]) => {
    const number = Number(values[name] ?? fallback)
    if (!(number > 0) && !(number === 0 && name !== 'cost-per-call' && name !== 'core-share')) throw new Error(`--${name} must be a positive number`)
    return [name, number]
  }))
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
  try {
    const options = Object.fromEntries(['micro', ...Object.keys(assumptions)].map(name => [name, { type: 'string' }]))
    const { values } = parseArgs({ options })
    if (values.micro === undefined) throw new Error('--micro must name the JSON file of npm run bench:micro')
    process.stdout.write(computeCapacity(JSON.parse(readFileSync(values.micro, 'utf8')), parseFlags(values)))
  } catch (error) {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = 1
  }
}
