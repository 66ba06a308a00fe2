// Guards against a log event that spans several lines or can't be split into pairs again.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createLogger, formatLine } from '../src/createLogger.js'

test('a line never holds a line end, whatever the values are', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.string({ unit: 'binary' }), value => {
      assert.doesNotMatch(formatLine({ key: value }), /[\r\n]/)
    }),
    { seed: 20261204 }
  )
})

test('an event is written once with its component, level and fields', () => {
  const lines: string[] = []
  const logger = createLogger({ component: 'test', write: line => lines.push(line) })
  logger.child({ host: 'entry-1' }).info('bundle in force', { version: 3 })
  logger.debug('not written at the default level')
  assert.equal(lines.length, 1)
  assert.match(lines[0] ?? '', /^time=\S+ event="bundle in force" level=info component=test host=entry-1 version=3$/)
})
