// Guards against crash suspects that are lost since the store does not take them, and against rows of other writers that end a host
// or make it refuse requests.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SendDecisionKind } from '@siskinbeam/crash-suspects/decideSuspectSend'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { StoreOutcome, type StoreReply } from '@siskinbeam/platform-adapter/createStoreClient'
import { createCrashDetection, type CrashDetection } from '../src/crashes/crashDetection.js'
import { createCrashRows } from '../src/crashes/crashRows.js'
import { fingerprintRequest, type IdentifiedRequest } from '../src/crashes/fingerprintRequest.js'
import type { ServerDeath } from '../src/servers/serverDeaths.js'
import { waitUntil } from './support/startPlatform.js'

const request = (url: string): IdentifiedRequest => ({ requestId: 'r-1', request: { method: 'GET', url, headers: { host: 'desk.example' } }, body: undefined })
const death = (address: string, url: string): ServerDeath =>
  ({ endpoint: { server: { id: `i-${address}`, address, boot: 1, service: 'desk' } }, at: 100, inFlight: [{ requestId: 'r-1', fingerprint: fingerprintRequest(request(url)), sentAt: 90 }] } as unknown as ServerDeath)

function createTestBed (write: () => StoreReply): { crashes: CrashDetection, rows: ReturnType<typeof createCrashRows>, written: Array<{ key: string, value: unknown }> } {
  const logger = createLogger({ component: 'test', write: () => {} })
  const written: Array<{ key: string, value: unknown }> = []
  const crashes = createCrashDetection({ logger, count: () => {}, now: () => 100, onChange: () => {} })
  const rows = createCrashRows({
    store: {
      writeRows: async (_table, _part, entries) => {
        const reply = write()
        if (reply.outcome === StoreOutcome.Done) written.push(...entries)
        return reply
      },
      removeRows: async () => done
    },
    crashes,
    logger,
    boot: 'boot-1',
    now: () => 100
  })
  return { crashes, rows, written }
}

const done: StoreReply = { outcome: StoreOutcome.Done, rows: [], version: 1, hasMore: false }

test('suspects that the store refuses are written later, and are listed until then', async () => {
  let refusals = 2
  const { crashes, rows, written } = createTestBed(() => refusals-- > 0 ? { outcome: StoreOutcome.Refused, reason: 'status 429' } : done)
  await rows.write(crashes.recordDeath(death('10.0.0.1:1', '/a')))
  assert.equal(rows.listUnwritten().length, 1)
  await waitUntil('the suspect is written', () => written.length === 1)
  assert.deepEqual(rows.listUnwritten(), [])
  rows.rewrite()
  await waitUntil('the suspect is written again', () => written.length === 2)
  rows.stop()
})

test('a host that reads the rows of another one refuses the request, and ignores rows that are no suspects', async () => {
  const first = createTestBed(() => done)
  await first.rows.write(first.crashes.recordDeath(death('10.0.0.1:1', '/a')))
  await first.rows.write(first.crashes.recordDeath(death('10.0.0.2:1', '/a')))
  await waitUntil('both deaths are written', () => first.written.length === 2)
  const second = createTestBed(() => done)
  const odd = [undefined, null, 7, 'text', [], { suspects: 7 }, { suspects: [null, 7, {}] }, { suspects: [{ fingerprint: 'f', deaths: [{ server: 'a', boot: 'b', agoMilliseconds: -1, requestAgeMilliseconds: Infinity }], clearedDeaths: [], succeededBefore: false }] }]
  second.rows.apply([...odd, ...first.written.map(({ value }) => value)].map((value, index) => ({ key: `k-${index}`, version: index, deleted: false, value })))
  const decide = (url: string): SendDecisionKind => second.crashes.decide(request(url), () => []).kind
  assert.deepEqual([decide('/a'), decide('/b')], [SendDecisionKind.Refused, SendDecisionKind.Free])
})
