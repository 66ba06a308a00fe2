// Guards against a process that ends because of one error which no code handles, and against one that keeps serving although
// its errors repeat.
import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { test } from 'node:test'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { surviveUnexpectedErrors } from '../src/surviveUnexpectedErrors.js'

function start (): { fail: (milliseconds: number) => void, logs: string[], shutDowns: () => number } {
  const source = new EventEmitter()
  const logs: string[] = []
  const clock = { now: 0, shutDowns: 0 }
  surviveUnexpectedErrors({ source, logger: createLogger({ component: 'test', write: line => { logs.push(line) } }), now: () => clock.now, onRepeated: () => { clock.shutDowns += 1 } })
  return {
    fail: milliseconds => {
      clock.now += milliseconds
      source.emit('uncaughtException', new Error('unreadable message'))
    },
    logs,
    shutDowns: () => clock.shutDowns
  }
}

test('an unexpected error is logged with its place and does not shut the process down', () => {
  const { fail, logs, shutDowns } = start()
  fail(0)
  assert.equal(shutDowns(), 0)
  assert.match(logs[0] ?? '', /unexpected error.*kind=exception.*unreadable message.*surviveUnexpectedErrors/)
})

test('errors that repeat within a minute shut the process down once', () => {
  const { fail, shutDowns } = start()
  Array.from({ length: 30 }).forEach(() => fail(100))
  assert.equal(shutDowns(), 1)
})

test('single errors over a long time do not shut the process down', () => {
  const { fail, shutDowns } = start()
  Array.from({ length: 30 }).forEach(() => fail(7_000))
  assert.equal(shutDowns(), 0)
})
