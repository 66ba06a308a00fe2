// Guards against an explanation that contains the lines of other requests, or that omits a state change of
// the host that caused the outcome.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommandContext } from '../src/commandContext.js'
import { explainRequest } from '../src/explainRequest.js'

const line = (second: number, host: string, event: string, rest = ''): string =>
  `time=2026-05-03T10:26:0${second}.000Z event=${JSON.stringify(event)} level=info component=entry-host host=${host} ${rest}`
const first = [
  line(1, 'a', 'configuration in force', 'configuration=4 routes=18 source=store'),
  line(2, 'a', 'configuration in force', 'configuration=7 routes=18 source=store'),
  line(3, 'a', 'server changed', 'server=i-1 state=ready'),
  line(3, 'a', 'server changed', 'server=i-2 state=ready'),
  line(4, 'a', 'send failed', 'request=r-1 server=i-1 outcome=broken reason="read ECONNRESET"'),
  line(5, 'a', 'request refused', 'request=r-1 code=401 status=502'),
  line(6, 'a', 'configuration in force', 'configuration=9 routes=18 source=store')
]
const third = [
  line(1, 'c', 'server pause', 'server=i-1 service=desk milliseconds=500'),
  line(2, 'c', 'server pause', 'server=i-1 service=desk milliseconds=9000'),
  line(2, 'c', 'server pause', 'server=i-7 service=issuer milliseconds=9000'),
  line(2, 'c', 'server leaving', 'server=i-2@1000 source=host-4'),
  line(3, 'c', 'server limit named', 'server=i-3 requestsPerSecond=1 source=first-send'),
  line(4, 'c', 'request refused', 'request=r-3 service=desk code=211 status=503'),
  line(4, 'c', 'server died', 'server=i-4 fingerprints=f-1'),
  line(5, 'c', 'request blamed for crashes', 'fingerprint=f-1 servers=10.0.0.1:1,10.0.0.2:1'),
  line(6, 'c', 'request refused', 'request=r-4 service=desk code=208 status=503'),
  line(7, 'c', 'request refused', 'request=r-5 service=desk code=203 status=503'),
  line(8, 'c', 'server pause', 'server=i-5 service=desk milliseconds=9000')
]
const second = [line(4, 'b', 'request answered', 'request=r-2 server=i-1 status=200'), line(2, 'b', 'store lost', 'table=op')]

async function explain (request: string): Promise<{ lines: string[], codes: number[] }> {
  const lines: string[] = []
  const files: Record<string, string[]> = { first, second, third }
  const context = { readFile: async (path: string) => Buffer.from((files[path] ?? []).join('\n')), writeOutput: (text: string) => { lines.push(text) } }
  const errors = await explainRequest(context as unknown as CommandContext, request, ['first', 'second', 'third'])
  return { lines, codes: errors.map(({ code }) => code) }
}

test('a request is explained by its own lines and by the state of its host at that time', async () => {
  assert.deepEqual((await explain('r-1')).lines, [first[1], first[2], first[4], first[5]])
})

test('a request that was refused because servers pause, leave or name limits is explained by their latest word before it', async () => {
  assert.deepEqual((await explain('r-3')).lines, [third[1], third[3], third[4], third[5]])
})

test('a request that was refused because it crashes servers is explained by their ends, and other refusals are not', async () => {
  assert.deepEqual((await explain('r-4')).lines, [third[6], third[7], third[8]])
  assert.deepEqual((await explain('r-5')).lines, [third[9]])
})

test('a request without log lines fails with a result code', async () => {
  assert.deepEqual(await explain('r-9'), { lines: [], codes: [606] })
})
