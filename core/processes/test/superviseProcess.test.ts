// Guards against an error in a control loop that terminates the daemon or silently stops the loop.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { createChannel, fromPromise, offer, put, sleep, take } from '../src/channels.js'
import { superviseProcess } from '../src/superviseProcess.js'

test('a process that throws is logged and restarted', async () => {
  const lines: string[] = []
  const logger = createLogger({ component: 'test', write: line => lines.push(line) })
  let starts = 0
  await new Promise<void>(resolve => {
    superviseProcess({
      name: 'failing',
      logger,
      body: function * () {
        starts += 1
        yield sleep(1)
        if (starts < 3) throw new Error('injected failure')
        resolve()
      }
    })
  })
  assert.equal(starts, 3)
  assert.equal(lines.filter(line => line.includes('process=failing')).length, 2)
})

test('processes exchange values, and a rejected promise is received as a value', async () => {
  const logger = createLogger({ component: 'test', write: () => {} })
  const requests = createChannel<number>(4)
  const results = createChannel<number>(4)
  const seen = await new Promise<unknown[]>(resolve => {
    superviseProcess({
      name: 'doubling',
      logger,
      body: function * () { yield put(results, 2 * (yield take(requests))) }
    })
    superviseProcess({
      name: 'collecting',
      logger,
      body: function * () {
        const doubled = yield take(results)
        const rejected = yield take(fromPromise(Promise.reject(new Error('refused'))))
        resolve([doubled, rejected.ok])
      }
    })
    offer(requests, 21)
  })
  assert.deepEqual(seen, [42, false])
})
