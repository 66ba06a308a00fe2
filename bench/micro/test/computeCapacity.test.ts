// Tests the capacity tables that scripts/computeCapacity.mjs computes from the record of the microbenchmarks.
import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { MeasurementName, MeasurementUnit, type Fit, type BenchmarkRecord } from '../src/benchmarkRecord.js'

interface CapacityRow { role: string, messages: number | null, bytes: number | null, corePercent: number | null }
interface CapacityScript {
  computeRoles: (record: BenchmarkRecord, flags: Record<string, number>) => { hosts: number, rows: CapacityRow[] }
  computeCapacity: (record: BenchmarkRecord, flags: Record<string, number>) => string
  parseFlags: (values: Record<string, string>) => Record<string, number>
}
// The script lies outside the packages and has no types, so it is imported by its path.
const scriptUrl = new URL('../../../../scripts/computeCapacity.mjs', import.meta.url)
const { computeRoles, computeCapacity, parseFlags } = await import(scriptUrl.href) as CapacityScript

const fit = (name: MeasurementName, slope: number, intercept: number): Fit =>
  ({ name, unit: MeasurementUnit.Microseconds, sizeUnit: 'things', slope, slopeError: 0.1, intercept, interceptError: 0.1, residualDeviation: 0.1, points: 4 })
const record: BenchmarkRecord = {
  nodeVersion: 'v20', processor: 'fixture', measurements: [], fits: Object.values(MeasurementName).map(name => fit(name, name === MeasurementName.BundleSize ? 100 : 0, 10))
}
const flags = parseFlags({ 'cost-per-call': '100', 'core-share': '0.5' })

// Guards against figures that do not follow from their slopes. 660,000 calls * 100 us / 0.5 give 132 hosts; 26,000
// changes a day of 14,000 * 100 + 10 bytes give 421,299 bytes per second.
test('rows are computed from the slopes and the assumptions', () => {
  const { hosts, rows } = computeRoles(record, flags)
  assert.equal(hosts, 132)
  const find = (start: string): CapacityRow => rows.find(({ role }) => role.startsWith(start)) as CapacityRow
  assert.equal(Math.round(find('entry host, bundles fetched whole').bytes ?? 0), Math.round(26_000 / 86_400 * 1_400_010))
  assert.equal(find('entry host, decisions').messages, 5_000)
  // The budget limits the probes: 5,000 calls per second at 0.1 would give 500.
  assert.equal(find('entry host, probes').messages, 200)
  assert.equal(find('table service, claims, each row').messages, 66_000)
})

// Guards against a page that omits assumptions, and against a missing measurement that counts as zero.
test('the page lists fits and assumptions, and a missing measurement or flag is an error', () => {
  const page = computeCapacity(record, flags)
  record.fits.forEach(({ name }) => assert.match(page, new RegExp(`\\| ${name} \\|`)))
  Object.keys(flags).forEach(name => assert.match(page, new RegExp(`\\| ${name} \\|`)))
  assert.throws(() => computeRoles({ ...record, fits: record.fits.slice(1) }, flags), /no measurement server-decision/)
  assert.throws(() => parseFlags({}), /cost-per-call/)
  assert.throws(() => execFileSync(process.execPath, [fileURLToPath(scriptUrl)], { stdio: 'pipe' }), /--micro must name/)
})
