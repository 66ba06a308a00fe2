// Guards against a log reader that stops reading and blocks the process, against an unbounded number of buffered
// lines, and against dropped lines that are not reported.
import assert from 'node:assert/strict'
import { mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { createLogSink } from '../src/createLogSink.js'

const openFile = (): { path: string, fileDescriptor: number } => {
  const path = join(mkdtempSync(join(tmpdir(), 'siskinbeam-')), 'log')
  return { path, fileDescriptor: openSync(path, 'w') }
}

test('lines are written completely and in order', async () => {
  const { path, fileDescriptor } = openFile()
  const sink = createLogSink({ fileDescriptor, now: () => performance.now() })
  const lines = Array.from({ length: 500 }, (_, index) => `line=${index}`)
  lines.forEach(sink.write)
  await sink.flush(5_000)
  assert.equal(readFileSync(path, 'utf8'), lines.join('\n') + '\n')
})

test('lines that exceed the rate limit are dropped and counted, and their number is logged later', async () => {
  const { path, fileDescriptor } = openFile()
  let now = 0
  const sink = createLogSink({ fileDescriptor, now: () => now })
  Array.from({ length: 10_000 }, (_, index) => sink.write(`line=${index}`))
  assert.equal(sink.dropped(), 8_000)
  now = 1_000
  sink.write('line=last')
  const secondSink = createLogSink({ fileDescriptor, now: () => performance.now() })
  await secondSink.flush(0)
  await new Promise(resolve => setTimeout(resolve, 100))
  assert.match(readFileSync(path, 'utf8'), /event="log lines dropped" lines=8000\nline=last\n$/)
})
