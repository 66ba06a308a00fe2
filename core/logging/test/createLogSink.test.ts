// Guards the log sink: against a reader that stops reading and so blocks the process, against lines without
// bound, and against drops that nobody hears of.
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

test('lines arrive whole and in order', async () => {
  const { path, fileDescriptor } = openFile()
  const sink = createLogSink({ fileDescriptor, now: () => performance.now() })
  const lines = Array.from({ length: 500 }, (_, index) => `line=${index}`)
  lines.forEach(sink.write)
  await sink.flush(5_000)
  assert.equal(readFileSync(path, 'utf8'), lines.join('\n') + '\n')
})

test('beyond the rate, lines are dropped, counted, and the number is written later', async () => {
  const { path, fileDescriptor } = openFile()
  let now = 0
  const sink = createLogSink({ fileDescriptor, now: () => now })
  Array.from({ length: 10_000 }, (_, index) => sink.write(`line=${index}`))
  assert.equal(sink.dropped(), 8_000)
  now = 1_000
  sink.write('line=last')
  const clock = createLogSink({ fileDescriptor, now: () => performance.now() })
  await clock.flush(0)
  await new Promise(resolve => setTimeout(resolve, 100))
  assert.match(readFileSync(path, 'utf8'), /event="log lines dropped" lines=8000\nline=last\n$/)
})
